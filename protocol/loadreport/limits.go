package loadreport

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// limitFormatVersion is the first byte of a datagram with a LimitReport. Routers that
// don't know it ignore the datagram.
const limitFormatVersion = 0xB2

// LimitReport tells peers which endpoints have named a limit on requests per second, and
// how many requests the sender has. It is sent while there is a limit.
type LimitReport struct {
	// Instance is the random identifier of the sending process.
	Instance string
	// Requests is the number of requests that the sender got in the latest 4 s.
	Requests uint32
	Limits   []RequestLimit
}

// RequestLimit is the limit of one endpoint.
type RequestLimit struct {
	Endpoint ID
	// Limited is false if the endpoint names no limit any more.
	Limited bool
	// MilliRate is the limit in thousandths of a request per second.
	MilliRate uint32
	// AgeMs is the time since the response that named it, in milliseconds.
	AgeMs uint32
}

// IsLimitReport reports whether a datagram holds a LimitReport.
func IsLimitReport(data []byte) bool { return len(data) > 0 && data[0] == limitFormatVersion }

// Append appends the encoded report to b.
func (r *LimitReport) Append(b []byte) []byte {
	b = append(b, limitFormatVersion)
	b = binary.AppendUvarint(b, uint64(len(r.Instance)))
	b = append(b, r.Instance...)
	b = binary.AppendUvarint(b, uint64(r.Requests))
	b = binary.AppendUvarint(b, uint64(len(r.Limits)))
	for _, l := range r.Limits {
		b = binary.LittleEndian.AppendUint32(b, l.Endpoint)
		rate := uint64(l.MilliRate) << 1
		if l.Limited {
			rate |= 1
		}
		b = binary.AppendUvarint(b, rate)
		b = binary.AppendUvarint(b, uint64(l.AgeMs))
	}
	return b
}

// minLimitBytes is the smallest size of an entry of Limits, in bytes.
const minLimitBytes = 6

// DecodeLimitReport parses a datagram. The error names the field that is invalid.
func DecodeLimitReport(data []byte) (*LimitReport, error) {
	d := decoder{rest: data}
	d.format(limitFormatVersion)
	r := &LimitReport{Instance: d.instance()}
	r.Requests = d.at("requests").count()
	r.Limits = decodeList(d.at("limits"), minLimitBytes, func() RequestLimit {
		l := RequestLimit{Endpoint: d.uint32()}
		l.MilliRate, l.Limited = d.countAndFlag()
		l.AgeMs = d.count()
		return l
	})
	if err := d.end(); err != nil {
		return nil, eris.Wrap(err, "invalid report of limits")
	}
	return r, nil
}
