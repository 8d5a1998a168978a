// Package logclient talks to the platform's append-only log. It follows the
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

	// maxReplyBytes bounds the memory that one reply may take.
	maxReplyBytes = 64 << 20
	// rangeBatch is the number of records that ReadRange asks for at once.
	rangeBatch = 256
	// rangeTimeout bounds one call of ReadRange.
	rangeTimeout = 10 * time.Second
	// maxErrorBytes bounds how much of an error reply is kept.
	maxErrorBytes = 4 << 10
)

// Record is one record of a topic.
type Record struct {
	Offset int64
	Value  []byte
}

// ExpiredError says that the asked offset is older than the retained records.
type ExpiredError struct {
	Topic  string
	Offset int64
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("offset %d of topic %s is no longer retained", e.Offset, e.Topic)
}

// RefusedError says that the log answered and certainly did not act, so the
// call may be made again.
type RefusedError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the log refused with status %d: %s", e.Status, e.Body)
}

// IsRefused reports whether err says that an append certainly had no effect.
// Any other error of Append leaves it open whether the record was appended.
func IsRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// Client is safe for use by several goroutines.
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

// Append adds values to topic and returns their offsets. After an error for
// which IsRefused is false, the records may or may not have been appended.
func (c *Client) Append(ctx context.Context, topic string, values ...[]byte) ([]int64, error) {
	in := produceRequest{Records: make([]produceRecord, 0, len(values))}
	for _, v := range values {
		in.Records = append(in.Records, produceRecord{Value: v})
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, eris.Wrap(err, "encode records")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(topic, ""), bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	// Without GetBody the transport can't send the body a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", produceType)
	var out produceReply
	if err := c.do(req, &out); err != nil {
		return nil, err
	}
	offsets := make([]int64, 0, len(out.Offsets))
	for _, o := range out.Offsets {
		if o.ErrorCode != nil {
			return nil, eris.Errorf("the log reported error %d for a record", *o.ErrorCode)
		}
		offsets = append(offsets, o.Offset)
	}
	if len(offsets) != len(values) {
		return nil, eris.Errorf("the log returned %d offsets for %d records", len(offsets), len(values))
	}
	return offsets, nil
}

// Read returns up to count records from offset on. It returns none at the end
// of the topic, and an *ExpiredError if offset is no longer retained.
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

// ReadRange returns the records from one offset up to another. It asks for
// fewer records at once after an error, because a reply with many large
// records exceeds the limit of a reply.
func (c *Client) ReadRange(ctx context.Context, topic string, from, to int64) ([]Record, error) {
	var all []Record
	batch := rangeBatch
	for next := from; next < to; {
		records, err := c.readWithin(ctx, topic, next, batch)
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

func (c *Client) readWithin(ctx context.Context, topic string, offset int64, count int) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, rangeTimeout)
	defer cancel()
	return c.Read(ctx, topic, offset, count)
}

// Offsets returns the offset of the first retained record and the offset that
// the next record will get.
func (c *Client) Offsets(ctx context.Context, topic string) (beginning, end int64, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(topic, "/offsets"), nil)
	if err != nil {
		return 0, 0, eris.Wrap(err, "build request")
	}
	req.Header.Set("Accept", offsetsType)
	var out offsetsReply
	if err := c.do(req, &out); err != nil {
		return 0, 0, err
	}
	return out.Beginning, out.End, nil
}

// isCertainRefusal reports whether a status can only come from before the log
// acted. A 408 or a 5xx may also come from something in front of the log that
// gave up after passing the request on.
func isCertainRefusal(status int) bool {
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
	if isCertainRefusal(resp.StatusCode) {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return &RefusedError{Status: resp.StatusCode, Body: strings.TrimSpace(string(text))}
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("the log answered with status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(out)
	return eris.Wrap(err, "decode the log's reply")
}
