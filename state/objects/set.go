package objects

import "sort"

// Set is a whole, checked set of objects.
type Set struct {
	Teams     map[string]*Team
	Services  map[string]*Service
	Endpoints map[string]*Endpoint
	Shares    map[string]*Share

	teamByToken map[string]*Team
	shareByPair map[pair]*Share
}

type pair struct{ team, service string }

// NewSet returns an empty set.
func NewSet() *Set {
	s := &Set{
		Teams:     map[string]*Team{},
		Services:  map[string]*Service{},
		Endpoints: map[string]*Endpoint{},
		Shares:    map[string]*Share{},
	}
	s.index()
	return s
}

// index builds the lookup tables; it must run after the last change to the maps.
func (s *Set) index() {
	s.teamByToken = map[string]*Team{}
	s.shareByPair = map[pair]*Share{}
	for _, t := range s.Teams {
		for _, hash := range t.TokenSHA256 {
			s.teamByToken[hash] = t
		}
	}
	for _, sh := range s.Shares {
		s.shareByPair[pair{sh.Team, sh.Service}] = sh
	}
}

// TeamByTokenHash returns the team with this lower-case hexadecimal token hash, or nil.
func (s *Set) TeamByTokenHash(hash string) *Team { return s.teamByToken[hash] }

// Share returns the share of a team in a service, or nil.
func (s *Set) Share(team, service string) *Share {
	return s.shareByPair[pair{team, service}]
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

// ServiceNames returns the names of the services in order.
func (s *Set) ServiceNames() []string {
	names := make([]string, 0, len(s.Services))
	for name := range s.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
