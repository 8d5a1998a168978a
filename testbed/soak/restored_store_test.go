package soak

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/platform/platformtest"
)

// configurationBound is the time after which a configuration must be in force.
const configurationBound = 2 * time.Second

// statuses returns the status of a request with this path at each router.
func (f *fleet) statuses(path string) []int {
	f.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	var list []int
	for _, r := range f.routers {
		req, err := http.NewRequest(http.MethodPost, "http://"+r.trafficAddress+path, strings.NewReader("body"))
		must.NoError(f.t, err)
		req.Host = "soak.example"
		req.Header.Set(platformtest.RequestID, "restored")
		req.Header.Set("Authorization", "Bearer k1")
		response, err := client.Do(req)
		must.NoError(f.t, err)
		_ = response.Body.Close()
		list = append(list, response.StatusCode)
	}
	return list
}

// Guards against routers that serve an older set of routes after the store came back from an
// older copy, twice, one of them after a restart that reads the older copy.
func TestConfigurationsOutliveARestoredStore(t *testing.T) {
	f := newFleet(t)
	all := func(status int) []int { return []int{status, status, status} }
	for _, name := range []string{"first", "second"} {
		older := f.store.Copy()
		f.publishWith(name + "-before")
		time.Sleep(configurationBound)
		must.Eq(t, all(http.StatusOK), f.statuses("/"+name+"-before/x"))

		f.store.SetFault(platformtest.Unavailable)
		f.routers[0].signal(syscall.SIGKILL)
		time.Sleep(time.Second)
		f.store.Restore(older)
		f.store.SetFault(platformtest.Healthy)
		f.routers[0].restart()
		f.routers[0].waitUntilReady()
		time.Sleep(configurationBound)
		must.Eq(t, all(http.StatusOK), f.statuses("/"+name+"-before/x"), must.Sprint("only the routers have it"))

		f.publishWith(name + "-after")
		time.Sleep(configurationBound)
		must.Eq(t, all(http.StatusOK), f.statuses("/"+name+"-after/x"))
		must.Eq(t, all(http.StatusNotFound), f.statuses("/"+name+"-before/x"))
	}
}
