package streamorigin

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

const (
	// formatVersion is the first byte of saved origins and of a saved implied build.
	formatVersion = 2
	// originBytes is the size of an encoded origin.
	originBytes = 13
	// impliedBytes is the size of an encoded implied build.
	impliedBytes = 13
)

// EncodeImplied encodes the implied build of a service for the store.
func EncodeImplied(i Implied) []byte {
	b := binary.LittleEndian.AppendUint32([]byte{formatVersion}, uint32(i.Build))
	return binary.LittleEndian.AppendUint64(b, uint64(i.Era))
}

// DecodeImplied decodes what EncodeImplied returned. It returns an error for anything else.
func DecodeImplied(b []byte) (Implied, error) {
	if err := checkFormat(b, len(b) == impliedBytes); err != nil {
		return Implied{}, eris.Wrap(err, "invalid implied build of a service")
	}
	i := Implied{Build: Build(binary.LittleEndian.Uint32(b[1:])), Era: int64(binary.LittleEndian.Uint64(b[5:]))}
	if i.Build == AnyBuild {
		return Implied{}, eris.New("invalid implied build of a service: the build is missing")
	}
	if i.Era < 0 {
		return Implied{}, eris.Errorf("invalid implied build of a service: the era %d is out of range", i.Era)
	}
	return i, nil
}

func checkFormat(b []byte, validLength bool) error {
	if len(b) == 0 || b[0] != formatVersion {
		return eris.New("unknown format")
	}
	if !validLength {
		return eris.Errorf("invalid length of %d bytes", len(b))
	}
	return nil
}

// Encode encodes origins for the store.
func Encode(origins []SavedOrigin) []byte {
	b := make([]byte, 0, 1+len(origins)*originBytes)
	b = append(b, formatVersion)
	for _, o := range origins {
		b = binary.LittleEndian.AppendUint64(b, uint64(o.Stream))
		b = binary.LittleEndian.AppendUint32(b, uint32(o.Build))
		b = append(b, o.Revision)
	}
	return b
}

// Decode decodes what Encode returned. It returns an error for anything else.
func Decode(b []byte) ([]SavedOrigin, error) {
	if err := checkFormat(b, (len(b)-1)%originBytes == 0); err != nil {
		return nil, eris.Wrap(err, "invalid saved origins of streams")
	}
	origins := make([]SavedOrigin, 0, (len(b)-1)/originBytes)
	for b = b[1:]; len(b) > 0; b = b[originBytes:] {
		o := Origin{Stream(binary.LittleEndian.Uint64(b)), Build(binary.LittleEndian.Uint32(b[8:]))}
		if o.Build == AnyBuild {
			return nil, eris.Errorf("invalid saved origins of streams: the build of origin %d is missing", len(origins))
		}
		origins = append(origins, SavedOrigin{Origin: o, Revision: b[12]})
	}
	return origins, nil
}
