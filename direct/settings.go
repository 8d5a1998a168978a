package direct

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"strings"
	"time"
)

// Settings holds the settings of a direct router.
type Settings struct {
	Name              string        `flag:"name" usage:"name of this router; unique in the fleet"`
	Zone              string        `flag:"zone" usage:"availability zone of this router"`
	Listen            string        `flag:"listen" default:"127.0.0.1:0" usage:"address of the listener for callers"`
	ReadyListen       string        `flag:"ready-listen" default:"127.0.0.1:0" usage:"address of the listener for readiness checks"`
	FleetListen       string        `flag:"fleet-listen" default:"127.0.0.1:0" usage:"address of the listeners for other routers, TCP and UDP"`
	MetricsListen     string        `flag:"metrics-listen" usage:"address of the listener for metrics; empty to disable it"`
	Peers             string        `flag:"peers" usage:"fleet addresses of other routers, separated by commas"`
	StoreWait         time.Duration `flag:"store-wait" default:"1200ms" usage:"how long the store may hold a read while there are no new records; must be shorter than the bounds on applying a configuration and on draining an endpoint"`
	DrainTimeout      time.Duration `flag:"drain-timeout" default:"15m" usage:"maximum time from SIGTERM to exit"`
	MemoryBytes       int64         `flag:"memory-bytes" default:"536870912" usage:"memory that this process may use, in bytes"`
	Cores             float64       `flag:"cores" default:"0" usage:"CPU cores that this process may use, such as 0.3; 0 if the limit is unknown"`
	Descriptors       int           `flag:"descriptors" default:"4096" usage:"file descriptors that this process may use"`
	RetryFraction     float64       `flag:"retry-fraction" default:"0.1" usage:"fraction of a service's requests that may be retried, in addition to the retry floor"`
	RetryFloor        float64       `flag:"retry-floor" default:"10" usage:"retries of a service per 10 s that the whole fleet may make regardless of the number of requests"`
	RetryStart        float64       `flag:"retry-start" default:"0" usage:"fraction of a service's requests that may be retried, without the floor, in the first 11 s of a process that isn't part of the first start of the fleet, since it doesn't know what was retried before"`
	ColdOvershoot     float64       `flag:"cold-overshoot" default:"1.5" usage:"factor of the rate that a cold endpoint sustains in the bound on its requests per second, to which cold-slack is added"`
	ColdSlack         float64       `flag:"cold-slack" default:"5" usage:"requests per second that a cold endpoint may get in addition to cold-overshoot times its rate, from all routers together"`
	FirstStart        bool          `flag:"first-start" default:"false" usage:"whether the whole fleet starts for the first time, so that no stream began before"`
	LogLinesPerSecond int           `flag:"log-lines-per-second" default:"500" usage:"maximum log lines per second of each message; further lines are only counted"`
	LogLevel          slog.Level    `flag:"log-level" default:"INFO" usage:"DEBUG, INFO, WARN or ERROR"`
}

// minMemory, in bytes, and minDescriptors are the smallest limits a router can
// run with.
const (
	minMemory      = 64 << 20
	minDescriptors = 256
)

// Validate implements settings.Validator.
func (s *Settings) Validate() []error {
	var errs []error
	for name, address := range map[string]string{
		"listen": s.Listen, "ready-listen": s.ReadyListen, "fleet-listen": s.FleetListen, "metrics-listen": s.MetricsListen,
	} {
		if address == "" && name == "metrics-listen" {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
	}
	if s.MemoryBytes < minMemory {
		errs = append(errs, fmt.Errorf("memory-bytes: %d is below %d", s.MemoryBytes, minMemory))
	}
	if s.Descriptors < minDescriptors {
		errs = append(errs, fmt.Errorf("descriptors: %d is below %d", s.Descriptors, minDescriptors))
	}
	if s.Cores < 0 {
		errs = append(errs, errors.New("cores: must not be negative"))
	}
	if s.DrainTimeout <= 0 {
		errs = append(errs, errors.New("drain-timeout: must be positive"))
	}
	if s.StoreWait <= 0 {
		errs = append(errs, errors.New("store-wait: must be positive"))
	}
	if s.RetryFraction < 0 || s.RetryFraction > 1 {
		errs = append(errs, fmt.Errorf("retry-fraction: %v is not between 0 and 1", s.RetryFraction))
	}
	if s.RetryStart < 0 || s.RetryStart > 1 {
		errs = append(errs, fmt.Errorf("retry-start: %v is not between 0 and 1", s.RetryStart))
	}
	if s.RetryFloor < 0 {
		errs = append(errs, errors.New("retry-floor: must not be negative"))
	}
	if !(s.ColdOvershoot >= 0) || math.IsInf(s.ColdOvershoot, 1) {
		errs = append(errs, errors.New("cold-overshoot: must be a number that isn't negative"))
	}
	if !(s.ColdSlack >= 0) || math.IsInf(s.ColdSlack, 1) {
		errs = append(errs, errors.New("cold-slack: must be a number that isn't negative"))
	}
	return errs
}

func (s *Settings) peerList() []string {
	if s.Peers == "" {
		return nil
	}
	return strings.Split(s.Peers, ",")
}
