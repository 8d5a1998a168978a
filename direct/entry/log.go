package entry

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/acaciaspar/acaciaspar/direct/dispatch"
)

// logRequestEnd logs the end of a request.
func (r *request) logRequestEnd(status int, reason string, more ...slog.Attr) {
	attrs := []slog.Attr{
		slog.String("request", r.id), slog.Int("status", status), slog.String("reason", reason),
		slog.Int64("after_ms", time.Since(r.receivedAt).Milliseconds()), slog.Int64("sends", r.sentAttempts.Load()),
	}
	if r.table != nil {
		attrs = append(attrs, slog.Uint64("config", r.table.Version))
	}
	if r.route != nil {
		attrs = append(attrs, slog.String("route", r.route.Name), slog.String("team", r.team))
	}
	r.h.Log.LogAttrs(context.Background(), slog.LevelInfo, "request ended", append(attrs, more...)...)
}

// logResumption logs an attempt that goes on after some event of a stream, of this response
// or of an earlier attempt of the caller.
func (r *request) logResumption(assignment *dispatch.Assignment, resume http.Header) {
	d := &r.h.Dialect
	after, resumes := r.in.Header.Get(d.LastEventID), r.in.Header.Get(d.Resumes)
	if resume != nil {
		after = resume.Get(d.LastEventID)
	}
	if after == "" {
		return
	}
	e := &assignment.Endpoint
	r.h.Log.Info("stream resumed", "request", r.id, "resumes", resumes, "after_event", after, "endpoint", e.ID, "service", e.Service, "version", e.Version)
}

// refusalAttrs returns the log attributes with the inputs of a decision to refuse
// a request.
func (r *request) refusalAttrs(refusal *dispatch.Refusal) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("service", r.service.Name), slog.Float64("allowance", refusal.Allowance),
		slog.Int64("excess_ms", refusal.CapacityWait.Milliseconds()), slog.Int("candidates", refusal.Candidates),
		slog.Int64("units", r.cost.Units()),
	}
	if refusal.Reason == dispatch.Quarantined {
		attrs = append(attrs, slog.String("prompt_parts", r.promptPartsForLog()), slog.String("fingerprint", formatFingerprint(r.cachedFingerprint)))
	}
	return attrs
}

// maxLoggedParts bounds the length of a prompt's parts in a log line, in bytes.
const maxLoggedParts = 256

func (r *request) promptPartsForLog() string {
	parts := r.in.Header.Get(r.h.Dialect.PromptParts)
	return parts[:min(len(parts), maxLoggedParts)]
}
