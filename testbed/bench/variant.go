package bench

// Variant is a set of settings with which a workload is run.
type Variant struct {
	Name string
	// RouterArgs are additional flags of all routers.
	RouterArgs []string
	// Prefetch overrides the prefetch of all endpoints, unless it is nil.
	Prefetch *uint32
	// NoHints sends no cost hints, so that the service's default cost applies.
	NoHints bool
	// NoFlood omits the flood.
	NoFlood bool
	// NoDelay omits the network delay between processes.
	NoDelay bool
	// Faults injects the workload's faults.
	Faults bool
}

// Variants returns all variants in the order in which they are reported.
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

// prefetch returns the prefetch of the service's endpoints in this variant.
func (v *Variant) prefetch(s *Service) uint32 {
	if v.Prefetch != nil {
		return *v.Prefetch
	}
	return s.Prefetch
}
