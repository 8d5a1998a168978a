// Command acaciaspar-call sends one request to a router and prints the response.
// Streamed completions are printed as they arrive. It exits with 1 if the
// response doesn't come from the endpoint or is incomplete.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/settings"
)

// retryDelay is the delay before a request with the outcome not-run is sent again.
const retryDelay = 200 * time.Millisecond

var errNoEndpointResponse = errors.New("no response from the endpoint")

type options struct {
	URL    string        `flag:"url" usage:"URL of the request, such as http://HOST:PORT/SERVICE/PATH"`
	Token  string        `flag:"token" usage:"the team's bearer token" secret:"true"`
	Method string        `flag:"method" default:"POST" usage:"HTTP method"`
	Data   string        `flag:"data" usage:"body of the request"`
	Key    string        `flag:"key" usage:"idempotency key"`
	Hint   uint64        `flag:"hint" usage:"expected cost in cost units; 0 sends none"`
	Wait   time.Duration `flag:"wait" default:"0s" usage:"time for which a request with the outcome not-run is retried"`
}

// Validate implements settings.Validator.
func (o *options) Validate() []error {
	if o.URL == "" {
		return []error{fmt.Errorf("url must be set")}
	}
	return nil
}

func main() {
	var o options
	loader := settings.Bind(flag.CommandLine, &o, nil)
	flag.Parse()
	if err := loader.Finish(flag.CommandLine, nil); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := call(ctx, &o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "acaciaspar-call:", err)
		os.Exit(1)
	}
}

// call sends the request and prints the response. While the outcome is not-run, it
// retries until the wait time is over.
func call(ctx context.Context, o *options) error {
	deadline := time.Now().Add(o.Wait)
	for {
		resp, err := send(ctx, o)
		if err != nil {
			return err
		}
		if resp.Header.Get(outcome.Header) != string(outcome.NotRun) || !time.Now().Before(deadline) {
			return printResponse(resp)
		}
		if err := resp.Body.Close(); err != nil {
			return eris.Wrap(err, "close response")
		}
		time.Sleep(retryDelay)
	}
}

func send(ctx context.Context, o *options) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, o.Method, o.URL, strings.NewReader(o.Data))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+o.Token)
	if o.Data != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if o.Key != "" {
		req.Header.Set("Idempotency-Key", o.Key)
	}
	if o.Hint > 0 {
		req.Header.Set("Acaciaspar-Cost-Hint", fmt.Sprint(o.Hint))
	}
	resp, err := http.DefaultClient.Do(req)
	return resp, eris.Wrap(err, "send request")
}

// printResponse prints an outcome or the endpoint's response. An outcome is an error.
func printResponse(resp *http.Response) error {
	defer resp.Body.Close()
	if resp.Header.Get(outcome.Header) != "" {
		var o outcome.Outcome
		if err := json.NewDecoder(resp.Body).Decode(&o); err != nil {
			return eris.Wrap(err, "decode outcome")
		}
		fmt.Printf("%d %s: %s\n", resp.StatusCode, o.Kind, o.Reason)
		return errNoEndpointResponse
	}
	fmt.Printf("%d ", resp.StatusCode)
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return printStream(resp.Body)
	}
	_, err := io.Copy(os.Stdout, resp.Body)
	return eris.Wrap(err, "read response")
}

type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		Total int `json:"total_tokens"`
	} `json:"usage"`
}

// printStream prints the text of a streamed completion and its token count.
func printStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			if event, ok := strings.CutPrefix(lines.Text(), "event: "); ok && event == outcome.StreamEvent {
				return eris.New("stream aborted by the router")
			}
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return eris.Wrap(err, "decode event")
		}
		for _, choice := range c.Choices {
			fmt.Print(choice.Text)
		}
		if c.Usage != nil {
			fmt.Printf("(%d tokens)\n", c.Usage.Total)
		}
	}
	if err := lines.Err(); err != nil {
		return eris.Wrap(err, "read stream")
	}
	return eris.New("stream ended without [DONE]")
}
