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

// Topic is the name of the configuration topic.
const Topic = "acaciaspar.config"

const (
	// Format is the version of the record encoding. A reader treats records of
	// other formats as malformed, so all readers must be upgraded before a new
	// format is written.
	Format = 1
	// MaxRecordBytes bounds the size of a record after decompression.
	MaxRecordBytes = objects.MaxInputBytes + 1<<20
	// MaxOperatorBytes is the maximum size of an operator's name in bytes.
	MaxOperatorBytes = 256
	// compressionThreshold is the encoded size in bytes at and above which a
	// publication is compressed.
	compressionThreshold = 64 << 10
	// RecentIDs is the number of accepted publication IDs that a reader keeps
	// in order to detect duplicates.
	RecentIDs = 1024
)

const (
	typePublication = "publication"
	typeSnapshot    = "snapshot"
)

var (
	idPattern = regexp.MustCompile(`^[0-9a-f]{32}$`)
	gzipMagic = []byte{0x1f, 0x8b}
)

// Publication is a request to change the configuration.
type Publication struct {
	// ID is 128 random bits in lower-case hexadecimal.
	ID string `json:"id"`
	// Operator is the person who publishes.
	Operator string `json:"operator"`
	// Time is the time by the operator's clock. It is informational and not
	// used by the acceptance rule.
	Time time.Time `json:"time"`
	// Base is the version to which the changes apply.
	Base    uint64           `json:"base"`
	Changes []objects.Change `json:"changes"`
	// Hash is the hash of the resulting set in lower-case hexadecimal.
	Hash string `json:"hash"`
}

// Snapshot is a complete configuration from which readers without state start.
type Snapshot struct {
	Version uint64 `json:"version"`
	// NextOffset is the offset of the first record that isn't included.
	NextOffset int64 `json:"nextOffset"`
	// Time is the time by the writer's clock. It is informational and not used
	// by readers.
	Time time.Time `json:"time"`
	// Hash is the hash of the set in lower-case hexadecimal.
	Hash string `json:"hash"`
	// Recent lists the IDs of recently accepted publications, oldest first.
	Recent []string `json:"recent"`

	// compressedSet is the compressed encoding of the set. Only readers that
	// start from the snapshot decode it.
	compressedSet []byte
}

// envelope is the JSON part of a record. Exactly one of Publication and
// Snapshot is set.
type envelope struct {
	Format      int          `json:"format"`
	Type        string       `json:"type"`
	Publication *Publication `json:"publication,omitempty"`
	Snapshot    *Snapshot    `json:"snapshot,omitempty"`
}

// Encode returns the publication as a record: JSON, compressed from
// compressionThreshold on.
func (p *Publication) Encode() ([]byte, error) {
	raw, err := json.Marshal(envelope{Format: Format, Type: typePublication, Publication: p})
	if err != nil {
		return nil, eris.Wrap(err, "encode publication")
	}
	if len(raw) < compressionThreshold {
		return raw, nil
	}
	return compress(raw)
}

// Encode returns the snapshot as a record of two gzip members: the JSON
// without the set, then the set. They are separate because every router reads
// every snapshot, but only those that start from it need the set.
func (s *Snapshot) Encode() ([]byte, error) {
	raw, err := json.Marshal(envelope{Format: Format, Type: typeSnapshot, Snapshot: s})
	if err != nil {
		return nil, eris.Wrap(err, "encode snapshot")
	}
	encoded, err := compress(raw)
	if err != nil {
		return nil, err
	}
	return append(encoded, s.compressedSet...), nil
}

// Decode parses a record. Exactly one of the three results is not nil.
func Decode(data []byte) (*Publication, *Snapshot, error) {
	raw, rest, err := split(data)
	if err != nil {
		return nil, nil, err
	}
	var record envelope
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&record); err != nil {
		return nil, nil, eris.Wrap(err, "decode record")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, nil, eris.New("decode record: more than one JSON value")
	}
	if record.Format != Format {
		return nil, nil, eris.Errorf("decode record: unknown format %d", record.Format)
	}
	switch {
	case record.Type == typePublication && record.Publication != nil && record.Snapshot == nil && len(rest) == 0:
		if err := record.Publication.validate(); err != nil {
			return nil, nil, err
		}
		return record.Publication, nil, nil
	case record.Type == typeSnapshot && record.Snapshot != nil && record.Publication == nil:
		record.Snapshot.compressedSet = rest
		if err := record.Snapshot.validate(); err != nil {
			return nil, nil, err
		}
		return nil, record.Snapshot, nil
	}
	return nil, nil, eris.Errorf("decode record: unknown type %q or content of another type", record.Type)
}

// split returns the JSON part of a record, decompressed if necessary, and the
// bytes after it.
func split(data []byte) (raw, rest []byte, err error) {
	if len(data) > MaxRecordBytes {
		return nil, nil, eris.Errorf("record has more than %d bytes", MaxRecordBytes)
	}
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil, nil
	}
	return decompress(data)
}

func compress(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(raw); err != nil {
		return nil, eris.Wrap(err, "compress record")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress record")
	}
	return b.Bytes(), nil
}

// decompress returns the content of the first gzip member and the bytes after it.
func decompress(data []byte) (plain, rest []byte, err error) {
	// From an io.ByteReader, the gzip reader does not read beyond the end of the
	// member, so source.Len() is the size of what follows.
	source := bytes.NewReader(data)
	r, err := gzip.NewReader(source)
	if err != nil {
		return nil, nil, eris.Wrap(err, "decompress record")
	}
	r.Multistream(false)
	plain, err = io.ReadAll(io.LimitReader(r, MaxRecordBytes+1))
	if err != nil {
		return nil, nil, eris.Wrap(err, "decompress record")
	}
	if len(plain) > MaxRecordBytes {
		return nil, nil, eris.Errorf("record has more than %d bytes", MaxRecordBytes)
	}
	return plain, data[len(data)-source.Len():], nil
}

// decodeSet returns the set that the snapshot holds.
func (s *Snapshot) decodeSet() (*objects.Set, error) {
	raw, rest, err := decompress(s.compressedSet)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, eris.New("decode snapshot set: trailing bytes")
	}
	return objects.Decode(raw)
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
		return eris.New("next offset is negative")
	}
	if len(s.Recent) > RecentIDs {
		return eris.Errorf("snapshot has %d recent ids, more than %d", len(s.Recent), RecentIDs)
	}
	return nil
}

// ValidID reports whether id has the form of a publication ID.
func ValidID(id string) bool { return idPattern.MatchString(id) }

func hashHex(hash [32]byte) string { return hex.EncodeToString(hash[:]) }
