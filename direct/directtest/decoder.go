package directtest

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/acaciaspar/acaciaspar/state/mirror"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/state/routing"
)

// evacuationPrefix precedes the zone in the key of a record that evacuates it.
const evacuationPrefix = "evacuated-zone:"

// EvacuationKey returns the key of the record that evacuates a zone.
func EvacuationKey(zone string) string { return evacuationPrefix + zone }

// Decoder decodes values that hold routing.Config or registry.Endpoint as JSON, and records that
// evacuate a zone.
type Decoder struct{}

// Config implements follow.Decoder.
func (Decoder) Config(r mirror.Record) (*routing.Config, error) {
	if strings.HasPrefix(r.Key, evacuationPrefix) {
		return nil, nil
	}
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

var errNoEvacuation = errors.New("the record evacuates no zone")

// Evacuation implements follow.Decoder.
func (Decoder) Evacuation(r mirror.Record) (zone string, isEvacuation bool, err error) {
	if zone, isEvacuation = strings.CutPrefix(r.Key, evacuationPrefix); !isEvacuation {
		return "", false, nil
	}
	if zone == "" || !r.IsTombstone() && string(r.Value) != "{}" {
		return "", true, errNoEvacuation
	}
	return zone, true, nil
}

// Encode encodes a value for Decoder. It panics if v can't be encoded.
func Encode(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(raw)
}
