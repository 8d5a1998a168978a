package fleet

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/acaciaspar/acaciaspar/state/objects"
)

// Objects is a set of objects that a test publishes.
type Objects struct {
	Teams     []objects.Team
	Services  []objects.Service
	Endpoints []objects.Endpoint
	Shares    []objects.Share
}

// tokenPrefix starts every bearer token and occurs in no other text, so that
// tokens are found in the logs.
const tokenPrefix = "test-token-"

// Token returns the bearer token that Team gives a team.
func Token(team string) string { return tokenPrefix + team }

// Team adds a team and its shares, of the same weight, in services.
func (o *Objects) Team(name string, weight uint64, services ...string) {
	hash := sha256.Sum256([]byte(Token(name)))
	o.Teams = append(o.Teams, objects.Team{Name: name, TokenSHA256: []string{hex.EncodeToString(hash[:])}})
	for _, service := range services {
		o.Shares = append(o.Shares, objects.Share{Name: name + "-" + service, Team: name, Service: service, Weight: weight})
	}
}

// encode returns the objects as documents of one file. JSON is valid YAML.
func (o *Objects) encode() ([]byte, error) {
	var documents []any
	for _, t := range o.Teams {
		documents = append(documents, struct {
			Kind objects.Kind `json:"kind"`
			objects.Team
		}{objects.KindTeam, t})
	}
	for _, s := range o.Services {
		documents = append(documents, struct {
			Kind objects.Kind `json:"kind"`
			objects.Service
		}{objects.KindService, s})
	}
	for _, e := range o.Endpoints {
		documents = append(documents, struct {
			Kind objects.Kind `json:"kind"`
			objects.Endpoint
		}{objects.KindEndpoint, e})
	}
	for _, s := range o.Shares {
		documents = append(documents, struct {
			Kind objects.Kind `json:"kind"`
			objects.Share
		}{objects.KindShare, s})
	}
	var out bytes.Buffer
	for _, d := range documents {
		text, err := json.MarshalIndent(d, "", "  ")
		if err != nil {
			return nil, err
		}
		out.WriteString("---\n")
		out.Write(text)
		out.WriteString("\n")
	}
	return out.Bytes(), nil
}

// Write writes the objects to a new file and returns its path.
func (f *Fleet) Write(o *Objects) string {
	f.run.Helper()
	data, err := o.encode()
	if err != nil {
		f.run.Fatalf("encode objects: %v", err)
	}
	path := filepath.Join(f.run.TempDir(), "objects.yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		f.run.Fatalf("write objects: %v", err)
	}
	return path
}

// Publish publishes the objects with the operators' tool and fails unless they are accepted.
func (f *Fleet) Publish(o *Objects) {
	f.run.Helper()
	result := f.ToolPublish(f.Write(o))
	if result.Code != 0 {
		f.run.Fatalf("publish exited with %d: %s%s", result.Code, result.Stdout, result.Stderr)
	}
}
