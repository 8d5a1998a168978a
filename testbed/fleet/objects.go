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

// Objects is a set of configuration objects to publish.
type Objects struct {
	Teams     []objects.Team
	Services  []objects.Service
	Endpoints []objects.Endpoint
	Shares    []objects.Share
}

// tokenPrefix is the prefix of every bearer token. It occurs in no other text,
// so a log line that contains it has leaked a token.
const tokenPrefix = "test-token-"

// Token returns the bearer token of a team added with Objects.AddTeam.
func Token(team string) string { return tokenPrefix + team }

// AddTeam adds a team and a share with the given weight in each of the services.
func (o *Objects) AddTeam(name string, weight uint64, services ...string) {
	hash := sha256.Sum256([]byte(Token(name)))
	o.Teams = append(o.Teams, objects.Team{Name: name, TokenSHA256: []string{hex.EncodeToString(hash[:])}})
	for _, service := range services {
		o.Shares = append(o.Shares, objects.Share{Name: name + "-" + service, Team: name, Service: service, Weight: weight})
	}
}

// encode returns the objects as documents of one YAML file. Each document is
// JSON, which is valid YAML.
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

// WriteObjects writes the objects to a new file and returns its path.
func (f *Fleet) WriteObjects(o *Objects) string {
	f.runner.Helper()
	data, err := o.encode()
	if err != nil {
		f.runner.Fatalf("encode objects: %v", err)
	}
	path := filepath.Join(f.runner.TempDir(), "objects.yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		f.runner.Fatalf("write objects: %v", err)
	}
	return path
}

// Publish publishes the objects with the operators' tool. It fails the run
// unless they are accepted.
func (f *Fleet) Publish(o *Objects) {
	f.runner.Helper()
	result := f.RunPublish(f.WriteObjects(o))
	if result.Code != 0 {
		f.runner.Fatalf("publish exited with %d: %s%s", result.Code, result.Stdout, result.Stderr)
	}
}
