// Command acaciaspar-call sends one request to a router and prints the answer.
// Streamed completions are printed as they arrive. It exits with 1 when the
// answer isn't the endpoint's own or was cut off.
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

// retryPause is the time between two attempts that did not run.
const retryPause = 200 * time.Millisecond

var errNotAnswered = errors.New("the answer is not the endpoint's own")

type options struct {
	URL    string        `flag:"url" usage:"address of the request, such as http://HOST:PORT/SERVICE/PATH"`
	Token  string        `flag:"token" usage:"the team's bearer token" secret:"true"`
	Method string        `flag:"method" default:"POST" usage:"HTTP method"`
	Data   string        `flag:"data" usage:"body of the request"`
	Key    string        `flag:"key" usage:"idempotency key"`
	Hint   uint64        `flag:"hint" usage:"expected cost in cost units; 0 sends none"`
	Wait   time.Duration `flag:"wait" default:"0s" usage:"time for which an outcome not-run is tried again"`
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

// call sends the request until it ran or the time to wait is over.
func call(ctx context.Context, o *options) error {
	deadline := time.Now().Add(o.Wait)
	for {
		resp, err := send(ctx, o)
		if err != nil {
			return err
		}
		if resp.Header.Get(outcome.Header) != string(outcome.NotRun) || !time.Now().Before(deadline) {
			return show(resp)
		}
		if err := resp.Body.Close(); err != nil {
			return eris.Wrap(err, "close the answer")
		}
		time.Sleep(retryPause)
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
	return resp, eris.Wrap(err, "send")
}

func show(resp *http.Response) error {
	defer resp.Body.Close()
	if resp.Header.Get(outcome.Header) != "" {
		var o outcome.Outcome
		if err := json.NewDecoder(resp.Body).Decode(&o); err != nil {
			return eris.Wrap(err, "read the outcome")
		}
		fmt.Printf("%d %s: %s\n", resp.StatusCode, o.Kind, o.Reason)
		return errNotAnswered
	}
	fmt.Printf("%d ", resp.StatusCode)
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return showStream(resp.Body)
	}
	_, err := io.Copy(os.Stdout, resp.Body)
	return eris.Wrap(err, "read the answer")
}

type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		Total int `json:"total_tokens"`
	} `json:"usage"`
}

func showStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			if event, ok := strings.CutPrefix(lines.Text(), "event: "); ok && event == outcome.StreamEvent {
				return eris.New("the stream was cut off")
			}
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return eris.Wrap(err, "decode an event")
		}
		for _, choice := range c.Choices {
			fmt.Print(choice.Text)
		}
		if c.Usage != nil {
			fmt.Printf("(%d tokens)\n", c.Usage.Total)
		}
	}
	if err := lines.Err(); err != nil {
		return eris.Wrap(err, "read the stream")
	}
	return eris.New("the stream ended early")
}
