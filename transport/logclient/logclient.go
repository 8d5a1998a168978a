// Package logclient is a client of the platform's append-only log. It uses the
// public HTTP interface of the Kafka REST Proxy: records are produced with
// POST /topics/{topic}/partitions/0 (v2, binary embedded format), consumed
// with GET /topics/{topic}/partitions/0/messages (v1, binary), and offsets are
// read with GET /topics/{topic}/partitions/0/offsets (v2). The package owns
// no state.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	produceType = "application/vnd.kafka.binary.v2+json"
	consumeType = "application/vnd.kafka.binary.v1+json"
	offsetsType = "application/vnd.kafka.v2+json"

	// maxReplyBytes limits the size of a reply, which is held in memory.
	maxReplyBytes = 64 << 20
	// rangeBatch is the initial number of records per call of ReadRange.
	rangeBatch = 256
	// rangeTimeout is the timeout of each call that ReadRange makes.
	rangeTimeout = 10 * time.Second
	// maxErrorBytes limits the part of an error reply that is kept in RefusedError.
	maxErrorBytes = 4 << 10
)

// Record is one record of a topic.
type Record struct {
	Offset int64
	Value  []byte
}

// ExpiredError reports that the requested offset is older than the retained records.
type ExpiredError struct {
	Topic  string
	Offset int64
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("offset %d of topic %s is no longer retained", e.Offset, e.Topic)
}

// RefusedError reports that the log refused a call without executing it, so the
// call can safely be retried.
type RefusedError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("log refused the call with status %d: %s", e.Status, e.Body)
}

// IsRefused reports whether err is or wraps a RefusedError, so that an append
// had no effect. After any other error of Append the records may have been
// appended.
func IsRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// Client is a client of one log. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the log at base, such as "http://127.0.0.1:8082".
func New(base string, hc *http.Client) *Client {
	return &Client{base: strings.TrimRight(base, "/"), http: hc}
}

type produceRecord struct {
	Value []byte `json:"value"`
}

type produceRequest struct {
	Records []produceRecord `json:"records"`
}

type produceOffset struct {
	Partition int     `json:"partition"`
	Offset    int64   `json:"offset"`
	ErrorCode *int    `json:"error_code"`
	Error     *string `json:"error"`
}

type produceReply struct {
	Offsets []produceOffset `json:"offsets"`
}

type message struct {
	Offset int64  `json:"offset"`
	Value  []byte `json:"value"`
}

type offsetsReply struct {
	Beginning int64 `json:"beginning_offset"`
	End       int64 `json:"end_offset"`
}

// Append appends one record per value to topic and returns their offsets. After
// an error for which IsRefused is false, the records may or may not have been
// appended.
func (c *Client) Append(ctx context.Context, topic string, values ...[]byte) ([]int64, error) {
	request := produceRequest{Records: make([]produceRecord, 0, len(values))}
	for _, v := range values {
		request.Records = append(request.Records, produceRecord{Value: v})
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, eris.Wrap(err, "encode records")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(topic, ""), bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	// Without GetBody the transport can't retry the request.
	req.GetBody = nil
	req.Header.Set("Content-Type", produceType)
	var reply produceReply
	if err := c.do(req, &reply); err != nil {
		return nil, err
	}
	offsets := make([]int64, 0, len(reply.Offsets))
	for _, o := range reply.Offsets {
		if o.ErrorCode != nil {
			return nil, eris.Errorf("append records: log reported error %d for a record", *o.ErrorCode)
		}
		offsets = append(offsets, o.Offset)
	}
	if len(offsets) != len(values) {
		return nil, eris.Errorf("append records: log returned %d offsets for %d records", len(offsets), len(values))
	}
	return offsets, nil
}

// Read returns up to count records, starting at offset. It returns none at the
// end of the topic, and an *ExpiredError if offset is no longer retained.
func (c *Client) Read(ctx context.Context, topic string, offset int64, count int) ([]Record, error) {
	query := url.Values{
		"offset": {strconv.FormatInt(offset, 10)},
		"count":  {strconv.Itoa(count)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(topic, "/messages")+"?"+query.Encode(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	req.Header.Set("Accept", consumeType)
	var messages []message
	err = c.do(req, &messages)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusRequestedRangeNotSatisfiable {
		return nil, &ExpiredError{Topic: topic, Offset: offset}
	}
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(messages))
	for _, m := range messages {
		records = append(records, Record(m))
	}
	return records, nil
}

// ReadRange returns the records from offset from up to, but not including, offset
// to. It returns fewer if the topic ends earlier. After an error it halves the
// number of records per call, because a reply with many large records can exceed
// maxReplyBytes.
func (c *Client) ReadRange(ctx context.Context, topic string, from, to int64) ([]Record, error) {
	var all []Record
	batch := rangeBatch
	for next := from; next < to; {
		records, err := c.readWithTimeout(ctx, topic, next, batch)
		var expired *ExpiredError
		if err != nil && (batch == 1 || ctx.Err() != nil || errors.As(err, &expired)) {
			return nil, err
		}
		if err != nil {
			batch /= 2
			continue
		}
		if len(records) == 0 {
			break
		}
		all = append(all, records...)
		next = records[len(records)-1].Offset + 1
	}
	return all, nil
}

func (c *Client) readWithTimeout(ctx context.Context, topic string, offset int64, count int) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, rangeTimeout)
	defer cancel()
	return c.Read(ctx, topic, offset, count)
}

// Offsets returns the offset of the first retained record and the offset of the
// next record to be appended.
func (c *Client) Offsets(ctx context.Context, topic string) (beginning, end int64, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(topic, "/offsets"), nil)
	if err != nil {
		return 0, 0, eris.Wrap(err, "build request")
	}
	req.Header.Set("Accept", offsetsType)
	var reply offsetsReply
	if err := c.do(req, &reply); err != nil {
		return 0, 0, err
	}
	return reply.Beginning, reply.End, nil
}

// isDefiniteRefusal reports whether a status shows that the log did not execute
// the request. A 408 or a 5xx doesn't, as it may come from a proxy that timed out
// after forwarding the request to the log.
func isDefiniteRefusal(status int) bool {
	return status/100 == 4 && status != http.StatusRequestTimeout
}

func (c *Client) url(topic, rest string) string {
	return c.base + "/topics/" + url.PathEscape(topic) + "/partitions/0" + rest
}

func (c *Client) do(req *http.Request, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "call the log")
	}
	defer resp.Body.Close()
	if isDefiniteRefusal(resp.StatusCode) {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return &RefusedError{Status: resp.StatusCode, Body: strings.TrimSpace(string(text))}
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("call the log: unexpected status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(out)
	return eris.Wrap(err, "decode the log's reply")
}
