package objects

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"unique"

	"github.com/rotisserie/eris"
)

// Object is a *Team, *Service, *Endpoint or *Share.
type Object interface {
	// ObjectKind returns the object's kind.
	ObjectKind() Kind
	// ObjectName returns the name, unique among the objects of the kind.
	ObjectName() string
}

// kinds lists all kinds in canonical order.
var kinds = []Kind{KindTeam, KindService, KindEndpoint, KindShare}

// ObjectKind implements Object.
func (t *Team) ObjectKind() Kind { return KindTeam }

// ObjectKind implements Object.
func (s *Service) ObjectKind() Kind { return KindService }

// ObjectKind implements Object.
func (e *Endpoint) ObjectKind() Kind { return KindEndpoint }

// ObjectKind implements Object.
func (s *Share) ObjectKind() Kind { return KindShare }

// ObjectName implements Object.
func (t *Team) ObjectName() string { return t.Name }

// ObjectName implements Object.
func (s *Service) ObjectName() string { return s.Name }

// ObjectName implements Object.
func (e *Endpoint) ObjectName() string { return e.Name }

// ObjectName implements Object.
func (s *Share) ObjectName() string { return s.Name }

// The encoded forms put the kind before the fields of the object.
type (
	teamForm struct {
		Kind Kind `json:"kind"`
		*Team
	}
	serviceForm struct {
		Kind Kind `json:"kind"`
		*Service
	}
	endpointForm struct {
		Kind Kind `json:"kind"`
		*Endpoint
	}
	shareForm struct {
		Kind Kind `json:"kind"`
		*Share
	}
)

// newObject returns an empty object of a kind, or nil if the kind is unknown.
func newObject(kind Kind) Object {
	switch kind {
	case KindTeam:
		return &Team{}
	case KindService:
		return &Service{}
	case KindEndpoint:
		return &Endpoint{}
	case KindShare:
		return &Share{}
	}
	return nil
}

// normalize fills in defaults, so that equal objects have one canonical form.
func normalize(o Object) {
	switch o := o.(type) {
	case *Team:
		if o.TokenSHA256 == nil {
			o.TokenSHA256 = []string{}
		}
	case *Service:
		if o.Operations == nil {
			o.Operations = []Operation{}
		}
	case *Endpoint:
		if o.State == "" {
			o.State = EndpointActive
		}
	}
}

// EncodeObject returns the canonical JSON form of an object: the kind, then
// the fields in the order of the type, without white space.
func EncodeObject(o Object) json.RawMessage {
	var form any
	switch o := o.(type) {
	case *Team:
		form = teamForm{KindTeam, o}
	case *Service:
		form = serviceForm{KindService, o}
	case *Endpoint:
		form = endpointForm{KindEndpoint, o}
	case *Share:
		form = shareForm{KindShare, o}
	}
	raw, err := json.Marshal(form)
	if err != nil {
		// Objects consist of strings, numbers and booleans, which always encode.
		panic(err)
	}
	return raw
}

// DecodeObject parses the JSON form of one object. Unknown fields are an
// error; the values of fields are not checked.
func DecodeObject(raw []byte) (Object, error) {
	var head struct {
		Kind Kind `json:"kind"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return nil, eris.Wrap(err, "decode object")
	}
	object := newObject(head.Kind)
	if object == nil {
		return nil, eris.Errorf("unknown kind %q", head.Kind)
	}
	if err := decodeStrict(raw, formOf(object)); err != nil {
		return nil, eris.Wrapf(err, "decode %s", head.Kind)
	}
	normalize(object)
	intern(object)
	return object, nil
}

// intern lets objects share the names that they refer to. With 18,000 teams
// and two shares each this saves memory on every router.
func intern(o Object) {
	switch o := o.(type) {
	case *Endpoint:
		o.Service = unique.Make(o.Service).Value()
		o.Zone = unique.Make(o.Zone).Value()
	case *Share:
		o.Team = unique.Make(o.Team).Value()
		o.Service = unique.Make(o.Service).Value()
	}
}

func formOf(o Object) any {
	switch o := o.(type) {
	case *Team:
		return &teamForm{Team: o}
	case *Service:
		return &serviceForm{Service: o}
	case *Endpoint:
		return &endpointForm{Endpoint: o}
	case *Share:
		return &shareForm{Share: o}
	}
	return nil
}

func decodeStrict(raw []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return eris.New("more than one value")
	}
	return nil
}

func kindIndex(kind Kind) int { return slices.Index(kinds, kind) }
