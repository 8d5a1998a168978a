package bench

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/acaciaspar/acaciaspar/state/objects"
)

// Workload describes a fleet and its load. docs/measurements.md explains the
// files in testbed/bench/workloads.
type Workload struct {
	Name string `yaml:"name"`
	// Seed determines the arrival times, costs, hints and routers of the requests.
	Seed uint64 `yaml:"seed"`
	// Duration is the time during which requests arrive.
	Duration time.Duration `yaml:"duration"`
	Zones    []string      `yaml:"zones"`
	// Delay is the one-way network delay of all traffic to and from the fleet
	// listener of each router and agent.
	Delay time.Duration `yaml:"delay"`
	// Routers is the number of routers, spread evenly over the zones.
	Routers  int       `yaml:"routers"`
	Services []Service `yaml:"services"`
	Teams    []Team    `yaml:"teams"`
	// Flood increases one team's load during the run.
	Flood Flood `yaml:"flood"`
	// Faults are injected only in the variant with faults.
	Faults []Fault `yaml:"faults"`
}

// Service is one service and its endpoints.
type Service struct {
	Name      string              `yaml:"name"`
	Type      objects.ServiceType `yaml:"type"`
	Endpoints int                 `yaml:"endpoints"`
	// Slots is the number of slots of each endpoint.
	Slots uint32 `yaml:"slots"`
	// Prefetch is the number of requests that an agent may hold in addition to
	// those in its slots. Default: 0.
	Prefetch    uint32 `yaml:"prefetch"`
	DefaultCost uint64 `yaml:"defaultCost"`
	MaxCost     uint64 `yaml:"maxCost"`
	// StepBase and StepPerSequence are the fixed time of an engine's step and the
	// time that each sequence adds to it.
	StepBase        time.Duration `yaml:"stepBase"`
	StepPerSequence time.Duration `yaml:"stepPerSequence"`
	// PromptTokens is the length of each prompt in tokens.
	PromptTokens int `yaml:"promptTokens"`
	// Tokens is the distribution of the response length in tokens.
	Tokens Distribution `yaml:"tokens"`
	// WrongHints is the share of requests whose cost hint is 1/20 of their cost.
	WrongHints float64 `yaml:"wrongHints"`
	// ServiceTime is the processing time of a request to a plain service.
	ServiceTime time.Duration `yaml:"serviceTime"`
	// NonIdempotentPath is the path of the non-idempotent operation, such as
	// "/bookings".
	NonIdempotentPath string `yaml:"act"`
	// NonIdempotentShare is the share of requests that are not idempotent, and
	// KeyedShare is the share of these that carry an idempotency key.
	NonIdempotentShare float64 `yaml:"acts"`
	KeyedShare         float64 `yaml:"keyed"`
}

// Distribution is a truncated heavy-tailed distribution.
type Distribution struct {
	// Kind is lognormal or pareto.
	Kind string `yaml:"kind"`
	// Median and Sigma describe a log-normal distribution.
	Median float64 `yaml:"median"`
	Sigma  float64 `yaml:"sigma"`
	// Min and Alpha describe a Pareto distribution.
	Min   float64 `yaml:"min"`
	Alpha float64 `yaml:"alpha"`
	// Max is the value at which the distribution is truncated.
	Max float64 `yaml:"max"`
}

// Team is one team and its load.
type Team struct {
	Name   string `yaml:"name"`
	Weight uint64 `yaml:"weight"`
	// Load is the offered load on each service as a fraction of its capacity.
	Load float64 `yaml:"load"`
	// RouterWeights holds the relative number of requests sent to each router, in
	// order of the routers; routers without a weight get none.
	RouterWeights []float64 `yaml:"spread"`
	// Small marks a team whose load is below its share and whose queueing times are
	// reported.
	Small bool `yaml:"small"`
}

// Flood multiplies a team's load by Factor from Start on.
type Flood struct {
	Team   string        `yaml:"team"`
	Start  time.Duration `yaml:"at"`
	Factor float64       `yaml:"factor"`
}

// Fault is a fault injected at a given time.
type Fault struct {
	At time.Duration `yaml:"at"`
	// Action is kill, stop, start, log-down or log-up.
	Action string `yaml:"action"`
	// Process is a router ("router-2"), the queue owner of a service ("owner of
	// strand-assist") or an agent ("strand-assist-1").
	Process string `yaml:"process"`
}

// LoadWorkload reads and validates a workload file. Unknown fields are an error.
func LoadWorkload(path string) (*Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read workload")
	}
	var w Workload
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&w); err != nil {
		return nil, eris.Wrapf(err, "decode %s", path)
	}
	if err := w.validate(); err != nil {
		return nil, eris.Wrapf(err, "validate %s", path)
	}
	return &w, nil
}

func (w *Workload) validate() error {
	if w.Name == "" || w.Duration <= 0 || w.Routers < 1 || len(w.Zones) == 0 {
		return eris.New("name, duration, routers and zones must be set")
	}
	for _, s := range w.Services {
		if err := s.validate(); err != nil {
			return err
		}
	}
	floodTeamExists := w.Flood.Team == ""
	for _, t := range w.Teams {
		if t.Weight == 0 || t.Load <= 0 || len(t.RouterWeights) == 0 || len(t.RouterWeights) > w.Routers {
			return fmt.Errorf("team %q needs a weight, a load and a spread over 1 to %d routers", t.Name, w.Routers)
		}
		floodTeamExists = floodTeamExists || t.Name == w.Flood.Team
	}
	if !floodTeamExists {
		return fmt.Errorf("flood: there is no team %q", w.Flood.Team)
	}
	return w.validateFaults()
}

func (s *Service) validate() error {
	if s.Endpoints < 1 || s.Slots == 0 {
		return fmt.Errorf("service %q needs endpoints and slots", s.Name)
	}
	switch s.Type {
	case objects.ModelService:
		if s.StepBase <= 0 || s.PromptTokens < 1 || !s.Tokens.valid() {
			return fmt.Errorf("service %q needs stepBase, promptTokens and tokens", s.Name)
		}
	case objects.PlainService:
		if s.ServiceTime <= 0 || s.NonIdempotentPath == "" {
			return fmt.Errorf("service %q needs serviceTime and act", s.Name)
		}
	default:
		return fmt.Errorf("service %q: unknown type %q", s.Name, s.Type)
	}
	return nil
}

func (w *Workload) validateFaults() error {
	for _, f := range w.Faults {
		switch f.Action {
		case "kill", "stop", "start", "log-down", "log-up":
		default:
			return fmt.Errorf("fault at %v: unknown action %q", f.At, f.Action)
		}
	}
	return nil
}

// step returns the duration of an engine's step with a full batch.
func (s *Service) step() time.Duration {
	return s.StepBase + time.Duration(s.Slots)*s.StepPerSequence
}

// holdTime returns the mean time for which a request holds a slot.
func (s *Service) holdTime() time.Duration {
	if s.Type == objects.PlainService {
		return s.ServiceTime
	}
	return time.Duration(s.Tokens.mean() * float64(s.step()))
}

// slots returns the number of slots of all endpoints.
func (s *Service) slots() int { return s.Endpoints * int(s.Slots) }

// capacity returns the request rate, in requests per second, that keeps all slots
// busy.
func (s *Service) capacity() float64 {
	return float64(s.slots()) / s.holdTime().Seconds()
}
