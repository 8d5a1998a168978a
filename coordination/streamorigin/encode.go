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
	if len(b) != impliedBytes || b[0] != formatVersion || binary.LittleEndian.Uint32(b[1:]) == uint32(AnyBuild) {
		return Implied{}, eris.New("invalid implied build of a service")
	}
	return Implied{Build: Build(binary.LittleEndian.Uint32(b[1:])), Era: int64(binary.LittleEndian.Uint64(b[5:]))}, nil
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
	if len(b) == 0 || b[0] != formatVersion || (len(b)-1)%originBytes != 0 {
		return nil, eris.New("invalid saved origins of streams")
	}
	origins := make([]SavedOrigin, 0, (len(b)-1)/originBytes)
	for b = b[1:]; len(b) > 0; b = b[originBytes:] {
		o := Origin{Stream(binary.LittleEndian.Uint64(b)), Build(binary.LittleEndian.Uint32(b[8:]))}
		origins = append(origins, SavedOrigin{Origin: o, Revision: b[12]})
	}
	return origins, nil
}
