package loadreport

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// crashFormatVersion is the first byte of a datagram with a CrashReport. Routers that
// don't know it ignore the datagram.
const crashFormatVersion = 0xB5

// maxCrashParts bounds the parts of one prompt; routers parse no more.
const maxCrashParts = 64

// CrashReport tells peers which requests engines were running when they crashed. It is
// sent after such a crash and, while any is remembered, at long intervals.
type CrashReport struct {
	// Instance is the random identifier of the sending process.
	Instance    string
	Interrupted []InterruptedRequest
	// Served holds parts of these requests with which others were served, and fingerprints
	// of those that were answered.
	Served []ServedPart
}

// InterruptedRequest is a request that a crashed engine was running.
type InterruptedRequest struct {
	// Crash identifies the incarnation of the engine.
	Crash ID
	// AgeMs is the time since the crash, in milliseconds.
	AgeMs uint32
	// Responding is set if the response had begun.
	Responding bool
	// Begun is set if it counts only among the begun responses. LastedMs is the time since the first event, in
	// milliseconds.
	Begun    bool
	LastedMs uint32
	// Parts holds the IDs of the prompt's shared parts. If Begun is set, it also holds fingerprints of requests.
	Parts []uint64
	// Request is the fingerprint of the request, or 0 if it is unknown.
	Request uint64
}

// ServedPart is a prompt part with which a request was served, or the fingerprint of a
// request that was answered.
type ServedPart struct {
	Part uint64
	// AgeMs is the time since the latest one, in milliseconds.
	AgeMs uint32
	// LastedMs is set for a response that lasted for this time, in milliseconds, and MaxCount for a complete one.
	LastedMs uint32
}

// IsCrashReport reports whether a datagram holds a CrashReport.
func IsCrashReport(data []byte) bool { return len(data) > 0 && data[0] == crashFormatVersion }

// Append appends the encoded report to b.
func (r *CrashReport) Append(b []byte) []byte {
	b = append(b, crashFormatVersion)
	b = binary.AppendUvarint(b, uint64(len(r.Instance)))
	b = append(b, r.Instance...)
	b = binary.AppendUvarint(b, uint64(len(r.Interrupted)))
	for _, i := range r.Interrupted {
		b = binary.LittleEndian.AppendUint32(b, i.Crash)
		age := uint64(i.AgeMs) << 1
		if i.Responding {
			age |= 1
		}
		b = binary.AppendUvarint(b, age)
		lasted := uint64(i.LastedMs) << 1
		if i.Begun {
			lasted |= 1
		}
		b = binary.AppendUvarint(b, lasted)
		b = binary.AppendUvarint(b, uint64(len(i.Parts)))
		for _, p := range i.Parts {
			b = binary.LittleEndian.AppendUint64(b, p)
		}
		b = binary.LittleEndian.AppendUint64(b, i.Request)
	}
	b = binary.AppendUvarint(b, uint64(len(r.Served)))
	for _, s := range r.Served {
		b = binary.LittleEndian.AppendUint64(b, s.Part)
		b = binary.AppendUvarint(b, uint64(s.AgeMs))
		b = binary.AppendUvarint(b, uint64(s.LastedMs))
	}
	return b
}

// Smallest sizes of list entries, in bytes.
const (
	minInterruptedBytes = 15
	partBytes           = 8
	minServedBytes      = 10
)

// DecodeCrashReport parses a datagram. The error names the field that is invalid.
func DecodeCrashReport(data []byte) (*CrashReport, error) {
	d := decoder{rest: data}
	d.format(crashFormatVersion)
	r := &CrashReport{Instance: d.instance()}
	r.Interrupted = decodeList(d.at("interrupted requests"), minInterruptedBytes, func() InterruptedRequest {
		i := InterruptedRequest{Crash: d.uint32()}
		i.AgeMs, i.Responding = d.countAndFlag()
		i.LastedMs, i.Begun = d.countAndFlag()
		i.Parts = decodeList(&d, partBytes, d.uint64)
		d.check(len(i.Parts) <= maxCrashParts)
		i.Request = d.uint64()
		return i
	})
	r.Served = decodeList(d.at("served parts"), minServedBytes, func() ServedPart {
		return ServedPart{Part: d.uint64(), AgeMs: d.count(), LastedMs: d.count()}
	})
	if err := d.end(); err != nil {
		return nil, eris.Wrap(err, "invalid report of crashes")
	}
	return r, nil
}
