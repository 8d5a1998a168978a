package bench

// Variant is one set of settings that a workload is run with.
type Variant struct {
	Name string
	// RouterArgs are flags of all routers.
	RouterArgs []string
	// Prefetch replaces the prefetch of all endpoints, unless it is nil.
	Prefetch *uint32
	// NoHints sends no hints; the service's default cost is used instead.
	NoHints bool
	// NoFlood leaves out the flood.
	NoFlood bool
	// NoDelay leaves out the delay between processes.
	NoDelay bool
	// Faults runs the workload's timeline of faults.
	Faults bool
}

// Variants returns all variants in the order of the tables.
func Variants() []Variant {
	return []Variant{
		{Name: "default"},
		{Name: "fcfs", RouterArgs: []string{"-ordering", "fcfs"}},
		{Name: "router-fair", RouterArgs: []string{"-ordering", "router-fair"}},
		{Name: "default-no-flood", NoFlood: true},
		{Name: "fcfs-no-flood", RouterArgs: []string{"-ordering", "fcfs"}, NoFlood: true},
		{Name: "random-placement", RouterArgs: []string{"-placement", "random"}},
		{Name: "prefetch-0", Prefetch: new(uint32(0))},
		{Name: "prefetch-1", Prefetch: new(uint32(1))},
		{Name: "prefetch-2", Prefetch: new(uint32(2))},
		{Name: "no-hints", NoHints: true},
		{Name: "no-delay", NoDelay: true},
		{Name: "default-faults", Faults: true},
	}
}

// prefetch returns the prefetch of a service's endpoints in this variant.
func (v *Variant) prefetch(s *Service) uint32 {
	if v.Prefetch != nil {
		return *v.Prefetch
	}
	return s.Prefetch
}
