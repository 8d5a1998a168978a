// Package hostlist reads the platform's host list, which has the format of
// Prometheus HTTP service discovery: a JSON array of groups with targets and
// labels. The package uses the labels role ("router" or "agent"), zone and state
// ("live" or "leaving"). It owns no state.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// maxResponseBytes limits the size of a list, which is held in memory.
const maxResponseBytes = 16 << 20

// Host is a target in the list.
type Host struct {
	// Address is the IP address and port of the fleet listener.
	Address string
	Role    string
	Zone    string
	// Leaving is set if the platform is about to remove the host.
	Leaving bool
}

type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Fetch reads the list from url. It returns an error if the response status is
// not 200 or the body is malformed.
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
		return nil, eris.Errorf("read host list: unexpected status %d", resp.StatusCode)
	}
	return Decode(io.LimitReader(resp.Body, maxResponseBytes))
}

// Decode parses a list. It returns an error if the list is not valid JSON.
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
