package directtest

import (
	"encoding/json"

	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// Decoder decodes values that hold routing.Config or registry.Endpoint as JSON.
type Decoder struct{}

// Config implements follow.Decoder.
func (Decoder) Config(r mirror.Record) (*routing.Config, error) {
	var c routing.Config
	if err := json.Unmarshal(r.Value, &c); err != nil {
		return nil, err
	}
	return &c, nil
}

// Endpoint implements follow.Decoder.
func (Decoder) Endpoint(r mirror.Record) (registry.Endpoint, error) {
	var e registry.Endpoint
	err := json.Unmarshal(r.Value, &e)
	return e, err
}

// Encode encodes a value for Decoder. It panics if v can't be encoded.
func Encode(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(raw)
}
