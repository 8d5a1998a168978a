package router

import (
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/acaciaspar/acaciaspar/settings"
	"github.com/acaciaspar/acaciaspar/transport/tlsconf"
)

// Settings are the router's settings. The tags give flag, default and help.
type Settings struct {
	Listen      string `flag:"listen" default:"127.0.0.1:0" usage:"address of the callers' listener"`
	FleetListen string `flag:"fleet-listen" default:"127.0.0.1:0" usage:"address of the listener for other processes of the fleet"`
	AdminListen string `flag:"admin-listen" default:"127.0.0.1:0" usage:"address of the listener for metrics and health checks"`
	Advertise   string `flag:"advertise" usage:"address that other processes use to reach the fleet listener (default: its own address)"`
	Zone        string `flag:"zone" usage:"availability zone of this host"`
	Fleet       string `flag:"fleet" default:"acaciaspar" usage:"name of the fleet"`
	Peers       string `flag:"peers" usage:"fleet addresses of other routers, separated by commas"`
	LogURL      string `flag:"log-url" usage:"base URL of the platform's log"`
	HostsURL    string `flag:"hosts-url" usage:"URL of the platform's host list"`

	MaxBody        int64         `flag:"max-body" default:"16777216" usage:"largest request body in bytes"`
	MaxHeldBody    int64         `flag:"max-held-body" default:"536870912" usage:"largest sum of request bodies held in memory, in bytes"`
	TeamQueueCount int           `flag:"team-queue-count" default:"256" usage:"waiting requests per team at this router"`
	TeamQueueBytes int64         `flag:"team-queue-bytes" default:"67108864" usage:"bytes of waiting request bodies per team at this router"`
	QueueTimeout   time.Duration `flag:"queue-timeout" default:"60s" usage:"longest wait for a slot"`
	AnswerTimeout  time.Duration `flag:"answer-timeout" default:"10m" usage:"longest time from sending a request to the end of its answer"`
	IdleTimeout    time.Duration `flag:"answer-idle-timeout" default:"60s" usage:"longest time between two pieces of an answer"`
	BodyTimeout    time.Duration `flag:"body-timeout" default:"30s" usage:"longest time for receiving a request body"`
	DrainTimeout   time.Duration `flag:"drain-timeout" default:"15m" usage:"longest time from SIGTERM to exit"`

	Ordering    string `flag:"ordering" default:"fair" usage:"order of teams: fair, fcfs or router-fair (the last two are baselines for measurement)"`
	Placement   string `flag:"placement" default:"affinity" usage:"choice of endpoint: affinity or random (a baseline for measurement)"`
	CreditLimit uint64 `flag:"credit-limit" default:"10000000" usage:"largest credit of a team against the others, in cost units per weight"`

	KeyWindow        time.Duration `flag:"key-window" default:"30m" usage:"time for which idempotency keys are remembered"`
	KeyTimeout       time.Duration `flag:"key-timeout" default:"5s" usage:"longest wait for the claim of an idempotency key"`
	SnapshotEvery    int           `flag:"snapshot-every" default:"256" usage:"publications after which a snapshot is appended to the log"`
	SnapshotInterval time.Duration `flag:"snapshot-interval" default:"10m" usage:"time after which a snapshot is appended to the log; keep it below a quarter of the log's retention"`
	AuditTrails      int           `flag:"audit-trails" default:"10000" usage:"requests whose trails are kept in memory"`

	TLSCert  string `flag:"tls-cert" usage:"certificate file (PEM)"`
	TLSKey   string `flag:"tls-key" usage:"key file (PEM)"`
	TLSCA    string `flag:"tls-ca" usage:"file with the CA of the fleet's certificates (PEM)"`
	LogLevel string `flag:"log-level" default:"info" usage:"debug, info, warn or error"`
	PProf    bool   `flag:"pprof" usage:"serve profiles below /debug/pprof/ on the admin listener"`

	PrintSettings bool `flag:"print-settings" usage:"print the settings in force and exit"`
}

// Validate reports every fault of the settings.
func (s *Settings) Validate() []error {
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	addresses := map[string]string{"listen": s.Listen, "fleet-listen": s.FleetListen, "admin-listen": s.AdminListen}
	if s.Advertise != "" {
		addresses["advertise"] = s.Advertise
	}
	for _, name := range []string{"listen", "fleet-listen", "admin-listen", "advertise"} {
		address, ok := addresses[name]
		if !ok {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			fault("%s: %w", name, err)
		}
	}
	for _, peer := range s.peers() {
		if _, _, err := net.SplitHostPort(peer); err != nil {
			fault("peers: %w", err)
		}
	}
	for _, setting := range []struct{ name, raw string }{{"log-url", s.LogURL}, {"hosts-url", s.HostsURL}} {
		if setting.raw == "" {
			continue
		}
		if u, err := url.Parse(setting.raw); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			fault("%s: %q is not an HTTP URL", setting.name, settings.Redact(setting.raw))
		}
	}
	if s.LogURL == "" && s.Peers == "" && s.HostsURL == "" {
		fault("log-url, peers or hosts-url must be set, or the router never gets a configuration")
	}
	if s.Fleet == "" {
		fault("fleet must not be empty")
	}
	positive := []struct {
		name  string
		value int64
	}{
		{"max-body", s.MaxBody}, {"max-held-body", s.MaxHeldBody},
		{"team-queue-count", int64(s.TeamQueueCount)}, {"team-queue-bytes", s.TeamQueueBytes},
		{"queue-timeout", int64(s.QueueTimeout)}, {"answer-timeout", int64(s.AnswerTimeout)},
		{"answer-idle-timeout", int64(s.IdleTimeout)}, {"body-timeout", int64(s.BodyTimeout)},
		{"drain-timeout", int64(s.DrainTimeout)}, {"key-window", int64(s.KeyWindow)},
		{"key-timeout", int64(s.KeyTimeout)}, {"snapshot-every", int64(s.SnapshotEvery)},
		{"snapshot-interval", int64(s.SnapshotInterval)}, {"audit-trails", int64(s.AuditTrails)},
	}
	for _, p := range positive {
		if p.value <= 0 {
			fault("%s must be positive", p.name)
		}
	}
	if s.MaxHeldBody < s.MaxBody {
		fault("max-held-body must not be below max-body")
	}
	switch s.Ordering {
	case "fair", "fcfs", "router-fair":
	default:
		fault("ordering: %q is not fair, fcfs or router-fair", s.Ordering)
	}
	switch s.Placement {
	case "affinity", "random":
	default:
		fault("placement: %q is not affinity or random", s.Placement)
	}
	if err := s.tlsFiles().Validate(); err != nil {
		faults = append(faults, err)
	}
	if _, err := s.logLevel(); err != nil {
		fault("log-level: %w", err)
	}
	return faults
}

func (s *Settings) peers() []string {
	var peers []string
	for peer := range strings.SplitSeq(s.Peers, ",") {
		if peer = strings.TrimSpace(peer); peer != "" {
			peers = append(peers, peer)
		}
	}
	return peers
}

func (s *Settings) tlsFiles() tlsconf.Files {
	return tlsconf.Files{Certificate: s.TLSCert, Key: s.TLSKey, CA: s.TLSCA}
}

func (s *Settings) logLevel() (slog.Level, error) {
	var level slog.Level
	err := level.UnmarshalText([]byte(s.LogLevel))
	return level, err
}
