// Package hostlist reads the platform's host list, which has the form of
// Prometheus HTTP service discovery: a JSON array of groups with targets and
// labels. The labels role ("router" or "agent"), zone and state ("live" or
// "leaving") are used. The package owns no state.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// maxListBytes bounds the memory that one list may take.
const maxListBytes = 16 << 20

// Host is one entry of the list.
type Host struct {
	// Address is the IP address and port of the fleet listener.
	Address string
	Role    string
	Zone    string
	// Leaving is set when the platform is about to take the host away.
	Leaving bool
}

type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Fetch reads the list at url.
func Fetch(ctx context.Context, hc *http.Client, url string) ([]Host, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	resp, err := hc.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "read host list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("host list answered with status %d", resp.StatusCode)
	}
	return Decode(io.LimitReader(resp.Body, maxListBytes))
}

// Decode parses a list.
func Decode(r io.Reader) ([]Host, error) {
	var groups []group
	if err := json.NewDecoder(r).Decode(&groups); err != nil {
		return nil, eris.Wrap(err, "decode host list")
	}
	var hosts []Host
	for _, g := range groups {
		for _, target := range g.Targets {
			hosts = append(hosts, Host{
				Address: target,
				Role:    g.Labels["role"],
				Zone:    g.Labels["zone"],
				Leaving: g.Labels["state"] == "leaving",
			})
		}
	}
	return hosts, nil
}
