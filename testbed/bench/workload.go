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

// Workload describes the fleet and its load. docs/measurements.md explains the
// files in testbed/bench/workloads.
type Workload struct {
	Name string `yaml:"name"`
	// Seed fixes arrivals, costs, hints and routers.
	Seed uint64 `yaml:"seed"`
	// Duration is the time during which requests arrive.
	Duration time.Duration `yaml:"duration"`
	Zones    []string      `yaml:"zones"`
	// Delay is the one-way delay of all traffic to and from the fleet listener
	// of each router and agent.
	Delay time.Duration `yaml:"delay"`
	// Routers is the number of routers, spread evenly over the zones.
	Routers  int       `yaml:"routers"`
	Services []Service `yaml:"services"`
	Teams    []Team    `yaml:"teams"`
	// Flood is the team that multiplies its load from a time on.
	Flood Flood `yaml:"flood"`
	// Faults are used by the variant with faults only.
	Faults []Fault `yaml:"faults"`
}

// Service is one service and its endpoints.
type Service struct {
	Name      string              `yaml:"name"`
	Type      objects.ServiceType `yaml:"type"`
	Endpoints int                 `yaml:"endpoints"`
	// Slots is the number of slots of each endpoint.
	Slots uint32 `yaml:"slots"`
	// Prefetch is the number of requests that an agent may hold ready. Default: 0.
	Prefetch    uint32 `yaml:"prefetch"`
	DefaultCost uint64 `yaml:"defaultCost"`
	MaxCost     uint64 `yaml:"maxCost"`
	// StepBase and StepPerSequence are the times of an engine's step.
	StepBase        time.Duration `yaml:"stepBase"`
	StepPerSequence time.Duration `yaml:"stepPerSequence"`
	// PromptTokens is the length of each prompt.
	PromptTokens int `yaml:"promptTokens"`
	// Tokens is the distribution of the length of answers.
	Tokens Distribution `yaml:"tokens"`
	// WrongHints is the share of requests whose hint is a twentieth of the cost.
	WrongHints float64 `yaml:"wrongHints"`
	// ServiceTime is the time of one request of a plain service.
	ServiceTime time.Duration `yaml:"serviceTime"`
	// Act names the path of the operation that is not idempotent, such as "/bookings".
	Act string `yaml:"act"`
	// Acts is the share of requests that are not idempotent, and Keyed the
	// share of these that carry an idempotency key.
	Acts  float64 `yaml:"acts"`
	Keyed float64 `yaml:"keyed"`
}

// Distribution is a bounded heavy-tailed distribution.
type Distribution struct {
	// Kind is lognormal or pareto.
	Kind string `yaml:"kind"`
	// Median and Sigma describe a log-normal distribution.
	Median float64 `yaml:"median"`
	Sigma  float64 `yaml:"sigma"`
	// Min and Alpha describe a Pareto distribution.
	Min   float64 `yaml:"min"`
	Alpha float64 `yaml:"alpha"`
	// Max cuts the distribution.
	Max float64 `yaml:"max"`
}

// Team is one team and its load.
type Team struct {
	Name   string `yaml:"name"`
	Weight uint64 `yaml:"weight"`
	// Load is the offered load in each service as a part of its capacity.
	Load float64 `yaml:"load"`
	// Spread holds the relative number of requests sent to each router, from
	// the first; routers that aren't listed get none.
	Spread []float64 `yaml:"spread"`
	// Small marks a team whose load is below its share and whose waits are reported.
	Small bool `yaml:"small"`
}

// Flood multiplies a team's load from At on.
type Flood struct {
	Team   string        `yaml:"team"`
	At     time.Duration `yaml:"at"`
	Factor float64       `yaml:"factor"`
}

// Fault is one event of the timeline.
type Fault struct {
	At time.Duration `yaml:"at"`
	// Action is kill, stop, start, log-down or log-up.
	Action string `yaml:"action"`
	// Process is a router ("router-2"), the queue owner of a service ("owner of
	// strand-assist") or an agent ("strand-assist-1").
	Process string `yaml:"process"`
}

// Load reads and checks a workload file.
func Load(path string) (*Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read the workload")
	}
	var w Workload
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&w); err != nil {
		return nil, eris.Wrapf(err, "decode %s", path)
	}
	if err := w.check(); err != nil {
		return nil, eris.Wrapf(err, "check %s", path)
	}
	return &w, nil
}

func (w *Workload) check() error {
	if w.Name == "" || w.Duration <= 0 || w.Routers < 1 || len(w.Zones) == 0 {
		return eris.New("name, duration, routers and zones must be set")
	}
	for _, s := range w.Services {
		if err := s.check(); err != nil {
			return err
		}
	}
	floods := w.Flood.Team == ""
	for _, t := range w.Teams {
		if t.Weight == 0 || t.Load <= 0 || len(t.Spread) == 0 || len(t.Spread) > w.Routers {
			return fmt.Errorf("team %q needs a weight, a load and a spread over at most %d routers", t.Name, w.Routers)
		}
		floods = floods || t.Name == w.Flood.Team
	}
	if !floods {
		return fmt.Errorf("flood: there is no team %q", w.Flood.Team)
	}
	return w.checkFaults()
}

func (s *Service) check() error {
	if s.Endpoints < 1 || s.Slots == 0 {
		return fmt.Errorf("service %q needs endpoints and slots", s.Name)
	}
	switch s.Type {
	case objects.ModelService:
		if s.StepBase <= 0 || s.PromptTokens < 1 || !s.Tokens.valid() {
			return fmt.Errorf("service %q needs stepBase, promptTokens and tokens", s.Name)
		}
	case objects.PlainService:
		if s.ServiceTime <= 0 || s.Act == "" {
			return fmt.Errorf("service %q needs serviceTime and act", s.Name)
		}
	default:
		return fmt.Errorf("service %q: unknown type %q", s.Name, s.Type)
	}
	return nil
}

func (w *Workload) checkFaults() error {
	for _, f := range w.Faults {
		switch f.Action {
		case "kill", "stop", "start", "log-down", "log-up":
		default:
			return fmt.Errorf("fault at %v: unknown action %q", f.At, f.Action)
		}
	}
	return nil
}

// step is the time of an engine's step with a full batch.
func (s *Service) step() time.Duration {
	return s.StepBase + time.Duration(s.Slots)*s.StepPerSequence
}

// holdTime is the mean time for which a request holds a slot.
func (s *Service) holdTime() time.Duration {
	if s.Type == objects.PlainService {
		return s.ServiceTime
	}
	return time.Duration(s.Tokens.mean() * float64(s.step()))
}

func (s *Service) slots() int { return s.Endpoints * int(s.Slots) }

// capacity is the number of requests per second that keep all slots busy.
func (s *Service) capacity() float64 {
	return float64(s.slots()) / s.holdTime().Seconds()
}
