package publication

import (
	"bytes"
	"compress/gzip"
	"encoding/hex"
	"encoding/json"
	"io"
	"regexp"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/state/objects"
)

// Topic is the name of the configuration stream.
const Topic = "acaciaspar.config"

const (
	// Format is the version of the record encoding. A reader counts records of
	// other formats as malformed, so a new format needs new readers first.
	Format = 1
	// MaxRecordBytes bounds the size of a record after decompression.
	MaxRecordBytes = objects.MaxInputBytes + 1<<20
	// MaxOperatorBytes bounds the name of an operator.
	MaxOperatorBytes = 256
	// RecentIDs is the number of accepted publication ids that a reader remembers.
	RecentIDs = 1024
)

const (
	typePublication = "publication"
	typeSnapshot    = "snapshot"
)

var idPattern = regexp.MustCompile(`^[0-9a-f]{32}$`)

// Publication asks for a change of the configuration.
type Publication struct {
	// ID is 128 random bits in lower-case hexadecimal.
	ID string `json:"id"`
	// Operator is the person who publishes.
	Operator string `json:"operator"`
	// Time is the operator's clock. It decides nothing.
	Time time.Time `json:"time"`
	// Base is the version that the changes were made for.
	Base    uint64           `json:"base"`
	Changes []objects.Change `json:"changes"`
	// Hash is the hash of the resulting set in lower-case hexadecimal.
	Hash string `json:"hash"`
}

// Snapshot is a whole configuration, from which readers without state start.
type Snapshot struct {
	Version uint64 `json:"version"`
	// NextOffset is the offset of the first record that isn't included.
	NextOffset int64 `json:"nextOffset"`
	// Time is the writer's clock. It decides nothing.
	Time time.Time `json:"time"`
	// Hash is the hash of the set in lower-case hexadecimal.
	Hash string `json:"hash"`
	// Recent lists the ids of recently accepted publications, oldest first.
	Recent []string `json:"recent"`
	// Objects is the encoded set.
	Objects json.RawMessage `json:"objects"`
}

// record is the encoded form; exactly one of the parts is set.
type record struct {
	Format      int          `json:"format"`
	Type        string       `json:"type"`
	Publication *Publication `json:"publication,omitempty"`
	Snapshot    *Snapshot    `json:"snapshot,omitempty"`
}

// Encode returns the record of a publication.
func (p *Publication) Encode() ([]byte, error) {
	raw, err := json.Marshal(record{Format: Format, Type: typePublication, Publication: p})
	return raw, eris.Wrap(err, "encode publication")
}

// Encode returns the record of a snapshot. It is compressed, because every
// router reads every snapshot and most of the text repeats.
func (s *Snapshot) Encode() ([]byte, error) {
	raw, err := json.Marshal(record{Format: Format, Type: typeSnapshot, Snapshot: s})
	if err != nil {
		return nil, eris.Wrap(err, "encode snapshot")
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(raw); err != nil {
		return nil, eris.Wrap(err, "compress snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress snapshot")
	}
	return b.Bytes(), nil
}

// Decode parses a record. Exactly one of the results is not nil.
func Decode(data []byte) (*Publication, *Snapshot, error) {
	plain, err := decompress(data)
	if err != nil {
		return nil, nil, err
	}
	var r record
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&r); err != nil {
		return nil, nil, eris.Wrap(err, "decode record")
	}
	if r.Format != Format {
		return nil, nil, eris.Errorf("unknown format %d", r.Format)
	}
	switch {
	case r.Type == typePublication && r.Publication != nil && r.Snapshot == nil:
		return r.Publication, nil, r.Publication.validate()
	case r.Type == typeSnapshot && r.Snapshot != nil && r.Publication == nil:
		return nil, r.Snapshot, r.Snapshot.validate()
	}
	return nil, nil, eris.Errorf("record of type %q doesn't have this content", r.Type)
}

func decompress(data []byte) ([]byte, error) {
	if len(data) > MaxRecordBytes {
		return nil, eris.Errorf("record has more than %d bytes", MaxRecordBytes)
	}
	if !bytes.HasPrefix(data, []byte{0x1f, 0x8b}) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "decompress record")
	}
	plain, err := io.ReadAll(io.LimitReader(r, MaxRecordBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress record")
	}
	if len(plain) > MaxRecordBytes {
		return nil, eris.Errorf("record has more than %d bytes", MaxRecordBytes)
	}
	return plain, nil
}

func (p *Publication) validate() error {
	if !idPattern.MatchString(p.ID) {
		return eris.Errorf("id %.64q is not 32 lower-case hexadecimal digits", p.ID)
	}
	if p.Operator == "" || len(p.Operator) > MaxOperatorBytes {
		return eris.Errorf("operator must have 1 to %d bytes", MaxOperatorBytes)
	}
	return nil
}

func (s *Snapshot) validate() error {
	if s.NextOffset < 0 {
		return eris.New("the next offset is negative")
	}
	if len(s.Recent) > RecentIDs {
		return eris.Errorf("%d recent ids, more than %d", len(s.Recent), RecentIDs)
	}
	return nil
}

// ValidID reports whether id has the form of a publication id.
func ValidID(id string) bool { return idPattern.MatchString(id) }

func hashText(hash [32]byte) string { return hex.EncodeToString(hash[:]) }
