package objects

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"maps"
	"slices"
	"sort"

	"github.com/rotisserie/eris"
)

const kindCount = 4

// Set is a complete set of objects. It is immutable once built.
type Set struct {
	Teams     map[string]*Team
	Services  map[string]*Service
	Endpoints map[string]*Endpoint
	Shares    map[string]*Share

	teamByToken        map[string]*Team
	shareByTeamService map[teamService]*Share
	// digests lists the digests of the objects of each kind, ordered by name.
	// They are kept so that the hash of a changed set needs only the changed
	// objects to be encoded again.
	digests [kindCount][]digest
}

type teamService struct{ team, service string }

// digest is an object's name and the SHA-256 of its canonical form.
type digest struct {
	name string
	sum  [sha256.Size]byte
}

// NewSet returns a set of the given objects without validating them. Of several
// objects of the same kind and name, the last one is used.
func NewSet(objects ...Object) *Set {
	s := &Set{
		Teams:     map[string]*Team{},
		Services:  map[string]*Service{},
		Endpoints: map[string]*Endpoint{},
		Shares:    map[string]*Share{},
	}
	for _, o := range objects {
		normalize(o)
		s.put(o)
	}
	s.buildIndexes()
	return s
}

// buildIndexes builds the lookup tables and the digests. It must be called after the last
// change to the maps.
func (s *Set) buildIndexes() {
	s.teamByToken = map[string]*Team{}
	s.shareByTeamService = map[teamService]*Share{}
	for _, t := range s.Teams {
		for _, hash := range t.TokenSHA256 {
			s.teamByToken[hash] = t
		}
	}
	for _, sh := range s.Shares {
		s.shareByTeamService[teamService{sh.Team, sh.Service}] = sh
	}
	for i, kind := range kinds {
		s.digests[i] = s.digestAll(kind)
	}
}

func (s *Set) digestAll(kind Kind) []digest {
	all := make([]digest, 0, s.count(kind))
	s.forEach(kind, func(o Object) { all = append(all, digestOf(o)) })
	slices.SortFunc(all, compareDigests)
	return all
}

func digestOf(o Object) digest {
	return digest{name: o.ObjectName(), sum: sha256.Sum256(EncodeObject(o))}
}

func compareDigests(a, b digest) int { return cmp.Compare(a.name, b.name) }

func (s *Set) forEach(kind Kind, visit func(Object)) {
	switch kind {
	case KindTeam:
		for _, o := range s.Teams {
			visit(o)
		}
	case KindService:
		for _, o := range s.Services {
			visit(o)
		}
	case KindEndpoint:
		for _, o := range s.Endpoints {
			visit(o)
		}
	case KindShare:
		for _, o := range s.Shares {
			visit(o)
		}
	}
}

// Object returns the object of a kind and name, or nil.
func (s *Set) Object(kind Kind, name string) Object {
	switch kind {
	case KindTeam:
		if o, ok := s.Teams[name]; ok {
			return o
		}
	case KindService:
		if o, ok := s.Services[name]; ok {
			return o
		}
	case KindEndpoint:
		if o, ok := s.Endpoints[name]; ok {
			return o
		}
	case KindShare:
		if o, ok := s.Shares[name]; ok {
			return o
		}
	}
	return nil
}

func (s *Set) put(o Object) {
	switch o := o.(type) {
	case *Team:
		s.Teams[o.Name] = o
	case *Service:
		s.Services[o.Name] = o
	case *Endpoint:
		s.Endpoints[o.Name] = o
	case *Share:
		s.Shares[o.Name] = o
	}
}

func (s *Set) remove(kind Kind, name string) {
	switch kind {
	case KindTeam:
		delete(s.Teams, name)
	case KindService:
		delete(s.Services, name)
	case KindEndpoint:
		delete(s.Endpoints, name)
	case KindShare:
		delete(s.Shares, name)
	}
}

// cloneFor returns a copy whose maps of the changed kinds may be modified. The
// objects and the maps of other kinds are shared with s.
func (s *Set) cloneFor(changed map[Kind]bool) *Set {
	c := *s
	if changed[KindTeam] {
		c.Teams = maps.Clone(s.Teams)
		c.teamByToken = maps.Clone(s.teamByToken)
	}
	if changed[KindService] {
		c.Services = maps.Clone(s.Services)
	}
	if changed[KindEndpoint] {
		c.Endpoints = maps.Clone(s.Endpoints)
	}
	if changed[KindShare] {
		c.Shares = maps.Clone(s.Shares)
		c.shareByTeamService = maps.Clone(s.shareByTeamService)
	}
	for i, kind := range kinds {
		if changed[kind] {
			c.digests[i] = slices.Clone(s.digests[i])
		}
	}
	return &c
}

func (s *Set) count(kind Kind) int {
	switch kind {
	case KindTeam:
		return len(s.Teams)
	case KindService:
		return len(s.Services)
	case KindEndpoint:
		return len(s.Endpoints)
	case KindShare:
		return len(s.Shares)
	}
	return 0
}

// Size returns the number of objects.
func (s *Set) Size() int {
	return len(s.Teams) + len(s.Services) + len(s.Endpoints) + len(s.Shares)
}

// TeamByTokenHash returns the team with this lower-case hexadecimal token hash, or nil.
func (s *Set) TeamByTokenHash(hash string) *Team { return s.teamByToken[hash] }

// Share returns the share of a team in a service, or nil.
func (s *Set) Share(team, service string) *Share {
	return s.shareByTeamService[teamService{team, service}]
}

// OperationByPath returns the operation of a service with this path, or nil.
func (s *Service) OperationByPath(path string) *Operation {
	for i := range s.Operations {
		if s.Operations[i].Path == path {
			return &s.Operations[i]
		}
	}
	return nil
}

// ServiceNames returns the sorted names of the services.
func (s *Set) ServiceNames() []string {
	names := make([]string, 0, len(s.Services))
	for name := range s.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ForEndpoint returns the part of the set that the agent of an endpoint needs: the
// endpoint and its service. It is empty if the endpoint does not exist.
func (s *Set) ForEndpoint(endpoint string) *Set {
	e := s.Endpoints[endpoint]
	if e == nil {
		return NewSet()
	}
	if service := s.Services[e.Service]; service != nil {
		return NewSet(e, service)
	}
	return NewSet(e)
}

// Hash identifies the content of the set. It is the SHA-256 of the set's
// canonical form: the SHA-256 digests of the canonical JSON of all objects, in
// the order Team, Service, Endpoint, Share and by name within a kind.
func (s *Set) Hash() [sha256.Size]byte {
	h := sha256.New()
	for i := range s.digests {
		for j := range s.digests[i] {
			h.Write(s.digests[i][j].sum[:])
		}
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// MarshalJSON returns a JSON array of the objects in canonical order and form.
func (s *Set) MarshalJSON() ([]byte, error) { return s.Encode(), nil }

// Encode returns a JSON array of the objects in canonical order and form.
func (s *Set) Encode() []byte {
	var b bytes.Buffer
	b.WriteByte('[')
	for i, kind := range kinds {
		for _, d := range s.digests[i] {
			if b.Len() > 1 {
				b.WriteByte(',')
			}
			b.Write(EncodeObject(s.Object(kind, d.name)))
		}
	}
	b.WriteByte(']')
	return b.Bytes()
}

// Decode parses the output of Encode. It does not check that the set is
// consistent, because an agent receives only the part that ForEndpoint returns;
// Set.Check checks a complete set.
func Decode(data []byte) (*Set, error) {
	if len(data) > MaxInputBytes {
		return nil, eris.Errorf("set of %d bytes is larger than %d", len(data), MaxInputBytes)
	}
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, eris.Wrap(err, "decode set")
	}
	decoded := make([]Object, 0, len(raw))
	for _, r := range raw {
		o, err := DecodeObject(r)
		if err != nil {
			return nil, err
		}
		decoded = append(decoded, o)
	}
	s := NewSet(decoded...)
	if s.Size() != len(raw) {
		return nil, eris.New("set has two objects of the same kind and name")
	}
	return s, nil
}
