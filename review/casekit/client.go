package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	ID, Method, Path string
	// Header holds further header lines, each with its line break.
	Header   string
	Body     string
	Deadline time.Duration
	// Event is called for each event of a stream; nil leaves it out.
	Event func(e Event)
}

// Event is one event of a stream.
type Event struct {
	ID                      int
	Worker, Version, Number string
}

// Answer is what the client got.
type Answer struct {
	Status     int
	Signature  string
	RetryAfter time.Duration
	Body       string
	// Err is set if the answer isn't complete, or if there is none.
	Err  error
	Took time.Duration
}

// String describes the answer in the record.
func (a Answer) String() string {
	switch {
	case a.Status == 0:
		return fmt.Sprintf("no answer: %v after %d ms", a.Err, a.Took.Milliseconds())
	case a.Err != nil:
		return fmt.Sprintf("%d, cut off: %v after %d ms", a.Status, a.Err, a.Took.Milliseconds())
	}
	signed := "without a signature"
	if a.Signature != "" {
		signed = a.Signature
	}
	return fmt.Sprintf("%d, %s, complete after %d ms", a.Status, signed, a.Took.Milliseconds())
}

// Client is one connection of a client.
type Client struct {
	kit    *Kit
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a connection. Clients allow it one second.
func (k *Kit) Dial(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{kit: k, conn: c, reader: bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Do sends a request and reads the answer.
func (c *Client) Do(r Request) Answer {
	began := time.Now()
	c.kit.Log("client sends %s: %s %s", r.ID, r.Method, r.Path)
	a := c.do(r, began)
	a.Took = time.Since(began)
	c.kit.Log("client of %s gets %s", r.ID, a)
	return a
}

func (c *Client) do(r Request, began time.Time) Answer {
	_ = c.conn.SetDeadline(began.Add(r.Deadline))
	length := ""
	if r.Method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: case.example\r\n%s: %s\r\n%s: %d\r\n%s%s\r\n", r.Method, r.Path, names.RequestID, r.ID,
		names.Deadline, r.Deadline.Milliseconds(), r.Header, length)
	if _, err := io.WriteString(c.conn, head+r.Body); err != nil {
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	a := Answer{Status: response.StatusCode, Signature: response.Header.Get(names.Signature)}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		a.Err = readEvents(bufio.NewReader(response.Body), r.Event)
		return a
	}
	body, err := io.ReadAll(response.Body)
	a.Body, a.Err = string(body), err
	return a
}

var eventText = regexp.MustCompile(`^id: (\d+)\ndata: (\S+) (\S+) (\d+)\n$`)

func readEvents(r *bufio.Reader, report func(Event)) error {
	var text strings.Builder
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && line == "" && text.Len() == 0 {
				return nil
			}
			return io.ErrUnexpectedEOF
		}
		if line != "\n" {
			text.WriteString(line)
			continue
		}
		m := eventText.FindStringSubmatch(text.String())
		if m == nil {
			return fmt.Errorf("an event that no worker sent: %q", text.String())
		}
		text.Reset()
		id, _ := strconv.Atoi(m[1])
		if report != nil {
			report(Event{id, m[2], m[3], m[4]})
		}
	}
}
