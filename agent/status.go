package agent

import (
	"encoding/json"
	"net/http"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
)

// Status is the response body of GET /status on the admin listener.
type Status struct {
	Fleet         string `json:"fleet"`
	Endpoint      string `json:"endpoint"`
	Service       string `json:"service"`
	Instance      string `json:"instance"`
	Address       string `json:"address"`
	ConfigVersion uint64 `json:"configVersion"`
	Draining      bool   `json:"draining"`
	// Running is the number of accepted requests, including those that wait for
	// a slot.
	Running  int `json:"running"`
	Capacity int `json:"capacity"`
	// Free is the number of tokens that may be granted.
	Free int `json:"free"`
	// FencingNumber is absent until the agent has obtained one.
	FencingNumber *uint64 `json:"fencingNumber,omitempty"`
	Owner         string  `json:"owner"`
}

func (a *Agent) status() Status {
	s := Status{
		Fleet:         a.identity.Fleet,
		Endpoint:      a.settings.Endpoint,
		Instance:      a.identity.Instance,
		Address:       a.identity.Address,
		ConfigVersion: a.config.Version(),
	}
	if _, service := a.currentObjects(); service != nil {
		s.Service = service.Name
	}
	if number, ok := a.fencing.get(); ok {
		s.FencingNumber = &number
	}
	a.slots.withTable(func(t *slots.Table) {
		s.Draining = t.Draining()
		s.Running = t.InProgress()
		s.Capacity = t.Capacity()
		s.Free = t.Free()
		s.Owner = t.Owner()
	})
	return s
}

func (a *Agent) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.status())
}

// serveHealth responds with 503 while the agent accepts no new requests because it
// is draining or superseded.
func (a *Agent) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if a.status().Draining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
