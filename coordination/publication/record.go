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
	// compressFrom is the size in bytes from which a publication is compressed.
	compressFrom = 64 << 10
	// RecentIDs is the number of accepted publication ids that a reader remembers.
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

	// packed is the compressed encoding of the set. It is unpacked only by
	// readers that start from the snapshot.
	packed []byte
}

// head is the JSON part of a record; exactly one of the parts is set.
type head struct {
	Format      int          `json:"format"`
	Type        string       `json:"type"`
	Publication *Publication `json:"publication,omitempty"`
	Snapshot    *Snapshot    `json:"snapshot,omitempty"`
}

// Encode returns the record of a publication: JSON, compressed if it is large.
func (p *Publication) Encode() ([]byte, error) {
	raw, err := json.Marshal(head{Format: Format, Type: typePublication, Publication: p})
	if err != nil {
		return nil, eris.Wrap(err, "encode publication")
	}
	if len(raw) < compressFrom {
		return raw, nil
	}
	return compress(raw)
}

// Encode returns the record of a snapshot: two gzip members, the JSON without
// the set and the set. Every router reads every snapshot, but only those that
// start from it need the set.
func (s *Snapshot) Encode() ([]byte, error) {
	raw, err := json.Marshal(head{Format: Format, Type: typeSnapshot, Snapshot: s})
	if err != nil {
		return nil, eris.Wrap(err, "encode snapshot")
	}
	first, err := compress(raw)
	if err != nil {
		return nil, err
	}
	return append(first, s.packed...), nil
}

// Decode parses a record. Exactly one of the results is not nil.
func Decode(data []byte) (*Publication, *Snapshot, error) {
	raw, rest, err := split(data)
	if err != nil {
		return nil, nil, err
	}
	var h head
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&h); err != nil {
		return nil, nil, eris.Wrap(err, "decode record")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, nil, eris.New("decode record: more than one value")
	}
	if h.Format != Format {
		return nil, nil, eris.Errorf("unknown format %d", h.Format)
	}
	switch {
	case h.Type == typePublication && h.Publication != nil && h.Snapshot == nil && len(rest) == 0:
		if err := h.Publication.validate(); err != nil {
			return nil, nil, err
		}
		return h.Publication, nil, nil
	case h.Type == typeSnapshot && h.Snapshot != nil && h.Publication == nil:
		h.Snapshot.packed = rest
		if err := h.Snapshot.validate(); err != nil {
			return nil, nil, err
		}
		return nil, h.Snapshot, nil
	}
	return nil, nil, eris.Errorf("record of type %q doesn't have this content", h.Type)
}

// split returns the JSON part of a record and what follows it.
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
	// The gzip reader reads no further than the member from an io.ByteReader.
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

// unpack returns the set that the snapshot holds.
func (s *Snapshot) unpack() (*objects.Set, error) {
	raw, rest, err := decompress(s.packed)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, eris.New("bytes follow the set")
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
