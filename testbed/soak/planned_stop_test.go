package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/platform/platformtest"
)

// Guards against requests that are forwarded late in a planned stop and cut at its end without
// an answer: they may have run, and may not be repeated.
func TestPlannedStopAnswersWhatItForwards(t *testing.T) {
	f := startFleet(t, func(f *fleet) {
		for i := range numPlain {
			f.addWorker("plain", defaultVersion, &platformtest.Worker{ID: fmt.Sprintf("plain-%d", i), ExecutionCounter: f.executions, ResponseDelay: 400 * time.Millisecond})
		}
	})
	stopping := f.routers[0]
	var mu sync.Mutex
	var unanswered []string
	answered, refused := 0, 0
	var callers sync.WaitGroup
	for caller := range numCallers {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		callers.Go(func() {
			// A caller keeps its connection until the router closes it, and connects again
			// until the process is gone.
			for n, failures := 0, 0; failures < 20; n++ {
				id := fmt.Sprintf("stop-%d-%d", caller, n)
				req, err := http.NewRequest(http.MethodPost, "http://"+stopping.trafficAddress+"/order/"+id, io.NopCloser(strings.NewReader("body")))
				if err != nil {
					t.Error(err)
					return
				}
				req.Host = "soak.example"
				req.Header.Set(platformtest.RequestID, id)
				req.Header.Set("Authorization", "Bearer k1")
				status, err := readResponse(client, req)
				mu.Lock()
				switch {
				case err != nil:
					unanswered = append(unanswered, id)
				case status == http.StatusOK:
					answered++
				default:
					refused++
				}
				mu.Unlock()
				if err != nil {
					failures++
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(time.Second)
	stopping.signal(syscall.SIGTERM)
	callers.Wait()
	t.Logf("%d answered, %d refused, %d got no answer", answered, refused, len(unanswered))
	must.Positive(t, answered)
	for _, id := range unanswered {
		must.Zero(t, f.executions.Count(id), must.Sprint(id, "ran and got no answer"))
	}
}

// readResponse sends a request and reads the whole response.
func readResponse(client *http.Client, req *http.Request) (status int, err error) {
	response, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
