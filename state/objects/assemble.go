package objects

// Assemble returns a set of objects that the caller has checked.
func Assemble(teams []*Team, services []*Service, endpoints []*Endpoint, shares []*Share) *Set {
	s := NewSet()
	for _, t := range teams {
		s.Teams[t.Name] = t
	}
	for _, v := range services {
		s.Services[v.Name] = v
	}
	for _, e := range endpoints {
		s.Endpoints[e.Name] = e
	}
	for _, sh := range shares {
		s.Shares[sh.Name] = sh
	}
	s.index()
	return s
}
