package idemkey

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

const (
	// MaxEntries is the maximum number of claims or releases in a record.
	MaxEntries = 1000
	// maxNameBytes is the maximum size of a request or router name in a record.
	maxNameBytes = 128
)

// Key is the SHA-256 of an idempotency key and its scope.
type Key [sha256.Size]byte

// KeyOf returns the Key of a caller's idempotency key within the scope of team,
// service and operation.
func KeyOf(team, service, operation, key string) Key {
	// JSON separates the parts unambiguously, whatever characters they contain.
	joined, err := json.Marshal([]string{team, service, operation, key})
	if err != nil {
		panic(err)
	}
	return sha256.Sum256(joined)
}

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, k[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(k)) {
		return fmt.Errorf("key must have %d characters, not %d", hex.EncodedLen(len(k)), len(text))
	}
	_, err := hex.Decode(k[:], text)
	return err
}

// RecordType is the type of a record of the key topic.
type RecordType string

// The record types that this package applies. Readers skip other types, such as
// the records by which agents obtain their fencing numbers.
const (
	ClaimsRecord   RecordType = "claims"
	ReleasesRecord RecordType = "releases"
)

// Entry is one claim or release of a key by a request.
type Entry struct {
	Key     Key    `json:"key"`
	Request string `json:"request"`
}

// Record is one record of the key topic.
type Record struct {
	Type RecordType `json:"type"`
	// Router identifies the router instance that appended the record.
	Router   string  `json:"router"`
	Claims   []Entry `json:"claims,omitempty"`
	Releases []Entry `json:"releases,omitempty"`
}

// Encode returns the record as stored in the topic, or an error if the record
// is invalid.
func (r *Record) Encode() ([]byte, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

// Decode parses a record. For records of other types, only Type is set. All
// readers skip records for which Decode returns an error, so it must not reject
// what another version accepts.
func Decode(value []byte) (*Record, error) {
	var header struct {
		Type RecordType `json:"type"`
	}
	if err := json.Unmarshal(value, &header); err != nil {
		return nil, err
	}
	if header.Type != ClaimsRecord && header.Type != ReleasesRecord {
		return &Record{Type: header.Type}, nil
	}
	r := &Record{}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, err
	}
	return r, r.validate()
}

func (r *Record) validate() error {
	entries, unexpected := r.Claims, r.Releases
	if r.Type == ReleasesRecord {
		entries, unexpected = unexpected, entries
	}
	if len(unexpected) > 0 {
		return fmt.Errorf("record of type %q has entries of another type", r.Type)
	}
	if len(entries) == 0 || len(entries) > MaxEntries {
		return fmt.Errorf("record must have 1 to %d entries, not %d", MaxEntries, len(entries))
	}
	if !validName(r.Router) {
		return fmt.Errorf("router name must have 1 to %d bytes", maxNameBytes)
	}
	for _, e := range entries {
		if !validName(e.Request) {
			return fmt.Errorf("request name must have 1 to %d bytes", maxNameBytes)
		}
	}
	return nil
}

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes }
