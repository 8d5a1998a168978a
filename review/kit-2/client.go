package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stream is a stream as its client sees it over all its attempts.
type stream struct {
	f          *fleet
	id         string
	hash       int
	zone, path string
	prefix     string
	deadline   time.Time
	events     int

	mu sync.Mutex
	// versions holds the version that wrote each event, lastID the identifier of the last one.
	versions []string
	lastID   int
	ordered  bool
	complete bool
	first    string
	attempts []attempt
}

// attempt is one attempt of a client at a stream.
type attempt struct {
	id         string
	router     *router
	began      time.Time
	takesUp    bool
	status     int
	events     int
	retryAfter time.Duration
	err        error
	ended      time.Time
	// calmSince is since when the router's process ran without a start or signal when the attempt began.
	calmSince time.Time
}

func newStream(f *fleet, id string, hash int, zone, path, prefix string, deadline time.Duration, events int) *stream {
	return &stream{f: f, id: id, hash: hash, zone: zone, path: path, prefix: prefix, deadline: time.Now().Add(deadline), events: events, ordered: true}
}

// try makes one attempt and reads its answer to the end. ctx ends with the client's connection.
func (s *stream) try(ctx context.Context) attempt {
	s.mu.Lock()
	number, last, first := len(s.attempts), s.lastID, s.first
	s.mu.Unlock()
	a := attempt{id: fmt.Sprintf("%s-%d", s.id, number), router: s.f.choose(s.zone, s.hash, number), began: time.Now(), takesUp: last > 0}
	a.calmSince = a.router.calmSince()
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.router.front+s.path, strings.NewReader("prompt of "+s.id))
	if err != nil {
		fail("request: %v", err)
	}
	request.Host = "model.example"
	request.Header.Set(names.RequestID, a.id)
	request.Header.Set(names.Model, "m")
	request.Header.Set(names.TokenCounts, "900,400")
	request.Header.Set(names.PromptPrefix, s.prefix+","+fmt.Sprintf("%x:100", 0xa000000+s.hash))
	request.Header.Set(names.Deadline, strconv.FormatInt(time.Until(s.deadline).Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer key-1")
	if last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(last))
		request.Header.Set("Resumes", first)
	}
	s.f.log.printf("client sends %s to %s, after event %d", a.id, a.router.name, last)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
	} else {
		a.status = response.StatusCode
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		a.retryAfter = time.Duration(seconds * float64(time.Second))
		if a.status == http.StatusOK && response.Header.Get(names.Signature) != "" {
			a.err = s.read(&a, bufio.NewReader(response.Body))
		}
		_ = response.Body.Close()
	}
	a.ended = time.Now()
	s.mu.Lock()
	s.attempts = append(s.attempts, a)
	s.complete = a.status == http.StatusOK && a.err == nil && s.lastID == s.events
	s.mu.Unlock()
	s.f.log.printf("client got for %s: status %d, %d events, retry after %v, error %v", a.id, a.status, a.events, a.retryAfter, a.err)
	return a
}

// read reads events until the end of the answer, which it returns as nil if it is complete.
func (s *stream) read(a *attempt, in *bufio.Reader) error {
	id, version := 0, ""
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			if err.Error() == "EOF" {
				return nil
			}
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			version, _, _ = strings.Cut(line[6:], " ")
		case line == "" && id > 0:
			s.mu.Lock()
			if id != s.lastID+1 {
				s.ordered = false
			}
			if s.first == "" {
				s.first = a.id
			}
			s.lastID = id
			s.versions = append(s.versions, version)
			s.mu.Unlock()
			a.events++
			id = 0
		}
	}
}

// written returns the versions that wrote the stream's events, in their order.
func (s *stream) written() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, v := range s.versions {
		if len(list) == 0 || list[len(list)-1] != v {
			list = append(list, v)
		}
	}
	return list
}

func (s *stream) last() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastID
}

// takeUp takes the stream up again with delays that double, as long as the client has retries and time.
// It waits at least as long as a refusal says.
func (s *stream) takeUp(ctx context.Context, retries int, delay time.Duration) {
	for range retries {
		time.Sleep(delay)
		if time.Until(s.deadline) < 500*time.Millisecond {
			return
		}
		a := s.try(ctx)
		if s.complete {
			return
		}
		delay = max(2*delay, min(a.retryAfter, time.Until(s.deadline)/3))
	}
}
