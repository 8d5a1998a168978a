package streamorigin

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

const (
	// formatVersion is the first byte of saved origins.
	formatVersion = 2
	// originBytes is the size of an encoded origin.
	originBytes = 13
	// impliedFormatVersion is the first byte of the implied builds.
	impliedFormatVersion = 4
	// impliedHeaderBytes and impliedBytes are the sizes of the header and of one implied build.
	impliedHeaderBytes = 9
	impliedBytes       = 17
)

// EncodeImplied encodes the implied builds for the store.
func EncodeImplied(builds ImpliedBuilds) []byte {
	b := make([]byte, 0, impliedHeaderBytes+len(builds.Of)*impliedBytes)
	b = append(b, impliedFormatVersion)
	b = binary.LittleEndian.AppendUint64(b, uint64(builds.Era))
	for _, r := range slices.Sorted(maps.Keys(builds.Of)) {
		i := builds.Of[r]
		b = binary.LittleEndian.AppendUint32(b, uint32(r))
		b = binary.LittleEndian.AppendUint32(b, uint32(i.Build))
		b = append(b, byte(i.State))
		b = binary.LittleEndian.AppendUint64(b, uint64(i.Since))
	}
	return b
}

// DecodeImplied decodes what EncodeImplied returned. It returns an error for anything else.
func DecodeImplied(b []byte) (ImpliedBuilds, error) {
	valid := len(b) >= impliedHeaderBytes && (len(b)-impliedHeaderBytes)%impliedBytes == 0
	if err := checkFormat(b, impliedFormatVersion, valid); err != nil {
		return ImpliedBuilds{}, eris.Wrap(err, "invalid implied builds")
	}
	builds := ImpliedBuilds{Era: int64(binary.LittleEndian.Uint64(b[1:])), Of: map[Route]Implied{}}
	if builds.Era < 0 {
		return ImpliedBuilds{}, eris.Errorf("invalid implied builds: the era %d is out of range", builds.Era)
	}
	last := int64(-1)
	for b = b[impliedHeaderBytes:]; len(b) > 0; b = b[impliedBytes:] {
		r := Route(binary.LittleEndian.Uint32(b))
		i := Implied{
			Build: Build(binary.LittleEndian.Uint32(b[4:])), State: State(b[8]), Since: int64(binary.LittleEndian.Uint64(b[9:])),
		}
		var invalid string
		switch {
		case int64(r) <= last:
			invalid = "route"
		case i.Build == AnyBuild:
			invalid = "build"
		case i.State > Replacing:
			invalid = "state"
		case i.Since < 0:
			invalid = "offset"
		}
		if invalid != "" {
			return ImpliedBuilds{}, eris.Errorf("invalid implied builds: the %s of entry %d is missing or out of range", invalid, len(builds.Of))
		}
		builds.Of[r], last = i, int64(r)
	}
	return builds, nil
}

func checkFormat(b []byte, version byte, validLength bool) error {
	if len(b) == 0 || b[0] != version {
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
	if err := checkFormat(b, formatVersion, (len(b)-1)%originBytes == 0); err != nil {
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
