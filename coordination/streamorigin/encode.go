package streamorigin

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

const (
	// formatVersion is the first byte of saved origins.
	formatVersion = 1
	// originBytes is the size of an encoded origin.
	originBytes = 12
)

// EncodeBuild encodes the only build of a service for the store.
func EncodeBuild(b Build) []byte {
	return binary.LittleEndian.AppendUint32([]byte{formatVersion}, uint32(b))
}

// DecodeBuild decodes what EncodeBuild returned. It returns an error for anything else.
func DecodeBuild(b []byte) (Build, error) {
	if len(b) != 5 || b[0] != formatVersion || binary.LittleEndian.Uint32(b[1:]) == uint32(AnyBuild) {
		return AnyBuild, eris.New("invalid saved build of a service")
	}
	return Build(binary.LittleEndian.Uint32(b[1:])), nil
}

// Encode encodes origins for the store.
func Encode(origins []Origin) []byte {
	b := make([]byte, 0, 1+len(origins)*originBytes)
	b = append(b, formatVersion)
	for _, o := range origins {
		b = binary.LittleEndian.AppendUint64(b, uint64(o.Stream))
		b = binary.LittleEndian.AppendUint32(b, uint32(o.Build))
	}
	return b
}

// Decode decodes what Encode returned. It returns an error for anything else.
func Decode(b []byte) ([]Origin, error) {
	if len(b) == 0 || b[0] != formatVersion || (len(b)-1)%originBytes != 0 {
		return nil, eris.New("invalid saved origins of streams")
	}
	origins := make([]Origin, 0, (len(b)-1)/originBytes)
	for b = b[1:]; len(b) > 0; b = b[originBytes:] {
		origins = append(origins, Origin{Stream(binary.LittleEndian.Uint64(b)), Build(binary.LittleEndian.Uint32(b[8:]))})
	}
	return origins, nil
}
