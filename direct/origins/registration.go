package origins

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/acaciaspar/acaciaspar/state/mirror"
)

const (
	// registrationKeyPrefix begins the keys of the registrations of processes.
	registrationKeyPrefix = "processes/"
	// activeProcess and retiredProcess are the values of registrations.
	activeProcess  = "active"
	retiredProcess = "retired"
)

// registrationKey returns the key of a registration. A process that registers again uses another number, as
// the store may execute an earlier write later.
func registrationKey(router, process string, number int) string {
	return registrationKeyPrefix + router + "/" + process + "/" + strconv.Itoa(number)
}

// parseRegistration returns the router and the process of a registration.
func parseRegistration(key string) (router, process string, ok bool) {
	text, ok := strings.CutPrefix(key, registrationKeyPrefix)
	if !ok {
		return "", "", false
	}
	text, _, hasNumber := cutLast(text)
	router, process, hasProcess := cutLast(text)
	return router, process, hasNumber && hasProcess && router != "" && process != ""
}

// noteProcesses records the registrations that a read returned. The caller holds mu.
func (o *Origins) noteProcesses(now time.Time, batch mirror.Batch) {
	listed := map[string]bool{}
	for _, r := range batch.Records {
		router, process, ok := parseRegistration(r.Key)
		switch {
		case !ok:
		case r.IsTombstone():
			o.processes.Remove(r.Key)
		default:
			listed[r.Key] = true
			o.processes.Register(now, r.Key, router, process, string(r.Value) != activeProcess)
		}
	}
	if batch.Complete {
		o.processes.KeepOnly(listed)
	}
}

// register writes the registration of this process if the store doesn't hold it, and reports whether it did.
func (o *Origins) register(ctx context.Context, now time.Time) bool {
	o.mu.Lock()
	isRegistered := o.processes.IsRegistered(o.options.Process)
	o.mu.Unlock()
	if isRegistered || now.Sub(o.registeredAt) < refreshInterval {
		return false
	}
	o.registeredAt = now
	o.registrations++
	return o.saveRegistration(ctx, registrationKey(o.options.Name, o.options.Process, o.registrations), activeProcess)
}

// endRegistrations removes the registrations of processes that have ended, and retires those of silent ones.
func (o *Origins) endRegistrations(ctx context.Context, now time.Time) {
	// Without the routes it isn't known how long streams may last.
	if o.options.Shares() == nil || now.Sub(o.endedAt) < refreshInterval {
		return
	}
	saves, longest := o.options.Saves(), o.options.LongestStream()
	o.mu.Lock()
	ended := o.processes.Ended(now, o.options.Name, o.options.Process, o.startedAt, max(o.longestStream, longest))
	var silent []string
	if saves {
		silent = o.processes.Silent(now, o.options.Process)
	}
	o.mu.Unlock()
	if len(ended)+len(silent) == 0 {
		return
	}
	o.endedAt = now
	if len(ended) > 0 && o.saveRegistration(ctx, ended[0], "", ended[1:]...) {
		o.mu.Lock()
		for _, key := range ended {
			o.processes.Remove(key)
		}
		o.mu.Unlock()
	}
	for _, key := range silent {
		o.options.Log.Info("a process has not reported for long; retiring its registration", "key", key)
		o.saveRegistration(ctx, key, retiredProcess)
	}
	if len(silent) > 0 {
		o.loadSince(ctx, time.Now())
	}
}

// saveRegistration writes a registration and removes others. An empty value removes it, too.
func (o *Origins) saveRegistration(ctx context.Context, key, value string, removals ...string) bool {
	call, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err := o.options.Store.SaveStreams(call, key, []byte(value), removals)
	if err != nil {
		o.options.Log.Warn("save the registration of a process failed; retrying", "key", key, "error", err.Error())
	}
	return err == nil
}
