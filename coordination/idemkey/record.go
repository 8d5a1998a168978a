package idemkey

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

const (
	// MaxEntries is the largest number of claims or releases in a record.
	MaxEntries = 1000
	// maxNameBytes bounds request and router names in a record.
	maxNameBytes = 128
)

// Key is the SHA-256 of an idempotency key and its scope.
type Key [sha256.Size]byte

// KeyOf returns the key that a caller's key has within team, service and operation.
func KeyOf(team, service, operation, key string) Key {
	// JSON keeps the parts apart whatever characters they contain.
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
		return fmt.Errorf("a key has %d characters, not %d", hex.EncodedLen(len(k)), len(text))
	}
	_, err := hex.Decode(k[:], text)
	return err
}

// RecordType tells what a record of the key stream holds.
type RecordType string

// The types that this package applies. Others, such as the records by which
// agents get their fencing numbers, are skipped.
const (
	ClaimsRecord   RecordType = "claims"
	ReleasesRecord RecordType = "releases"
)

// Entry is one claim or release.
type Entry struct {
	Key     Key    `json:"key"`
	Request string `json:"request"`
}

// Record is one record of the key stream.
type Record struct {
	Type RecordType `json:"type"`
	// Router is the instance of the router that appended the record.
	Router   string  `json:"router"`
	Claims   []Entry `json:"claims,omitempty"`
	Releases []Entry `json:"releases,omitempty"`
}

// Encode returns the record's form in the stream.
func (r *Record) Encode() ([]byte, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

// Decode reads a record. For a record of another type, only the type is set.
// All readers skip the records for which it returns an error, so it must not
// refuse what another version accepts.
func Decode(value []byte) (*Record, error) {
	var head struct {
		Type RecordType `json:"type"`
	}
	if err := json.Unmarshal(value, &head); err != nil {
		return nil, err
	}
	if head.Type != ClaimsRecord && head.Type != ReleasesRecord {
		return &Record{Type: head.Type}, nil
	}
	r := &Record{}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, err
	}
	return r, r.validate()
}

func (r *Record) validate() error {
	entries, other := r.Claims, r.Releases
	if r.Type == ReleasesRecord {
		entries, other = other, entries
	}
	if len(other) > 0 {
		return fmt.Errorf("a record of type %q holds entries of another type", r.Type)
	}
	if len(entries) == 0 || len(entries) > MaxEntries {
		return fmt.Errorf("a record must hold 1 to %d entries, not %d", MaxEntries, len(entries))
	}
	if !isName(r.Router) {
		return fmt.Errorf("the router's name must have 1 to %d bytes", maxNameBytes)
	}
	for _, e := range entries {
		if !isName(e.Request) {
			return fmt.Errorf("a request's name must have 1 to %d bytes", maxNameBytes)
		}
	}
	return nil
}

func isName(s string) bool { return s != "" && len(s) <= maxNameBytes }
