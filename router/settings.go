package router

import (
	"time"

	"github.com/acaciaspar/acaciaspar/settings"
	"github.com/acaciaspar/acaciaspar/transport/tlsconf"
)

// Settings are the router's settings. The tags contain the flag name, default and
// usage text.
type Settings struct {
	Listen      string `flag:"listen" default:"127.0.0.1:0" usage:"address of the listener for callers"`
	FleetListen string `flag:"fleet-listen" default:"127.0.0.1:0" usage:"address of the listener for other processes of the fleet"`
	AdminListen string `flag:"admin-listen" default:"127.0.0.1:0" usage:"address of the listener for metrics and health checks"`
	Advertise   string `flag:"advertise" usage:"address that other processes use to reach the fleet listener (default: its own address)"`
	Zone        string `flag:"zone" usage:"availability zone of this host"`
	Fleet       string `flag:"fleet" default:"acaciaspar" usage:"name of the fleet"`
	Peers       string `flag:"peers" usage:"fleet addresses of other routers, separated by commas"`
	LogURL      string `flag:"log-url" usage:"base URL of the platform's log"`
	HostsURL    string `flag:"hosts-url" usage:"URL of the platform's host list"`

	MaxBody         int64         `flag:"max-body" default:"16777216" usage:"maximum size of a request body in bytes"`
	MaxHeldBody     int64         `flag:"max-held-body" default:"536870912" usage:"maximum total size of the request bodies held in memory, in bytes"`
	TeamQueueCount  int           `flag:"team-queue-count" default:"256" usage:"maximum number of waiting requests per team at this router"`
	TeamQueueBytes  int64         `flag:"team-queue-bytes" default:"67108864" usage:"maximum total size of the bodies of waiting requests per team at this router, in bytes"`
	QueueTimeout    time.Duration `flag:"queue-timeout" default:"60s" usage:"maximum time that a request waits for a slot"`
	ResponseTimeout time.Duration `flag:"answer-timeout" default:"10m" usage:"maximum time from sending a request to the end of its response"`
	IdleTimeout     time.Duration `flag:"answer-idle-timeout" default:"60s" usage:"maximum time to wait for the next part of a response, or for the caller to receive it"`
	BodyTimeout     time.Duration `flag:"body-timeout" default:"30s" usage:"maximum time for receiving a request body"`
	DrainTimeout    time.Duration `flag:"drain-timeout" default:"15m" usage:"maximum time from SIGTERM to exit"`

	Ordering    string `flag:"ordering" default:"fair" usage:"scheduling order: fair, fcfs or router-fair (the last two are baselines for benchmarks)"`
	Placement   string `flag:"placement" default:"affinity" usage:"selection of the endpoint: affinity or random (random is a baseline for benchmarks)"`
	CreditLimit uint64 `flag:"credit-limit" default:"10000000" usage:"maximum credit of a team relative to the others, in cost units per weight"`

	KeyWindow        time.Duration `flag:"key-window" default:"30m" usage:"time for which a claim of an idempotency key is valid"`
	KeyTimeout       time.Duration `flag:"key-timeout" default:"5s" usage:"maximum time to wait for the claim of an idempotency key"`
	SnapshotEvery    int           `flag:"snapshot-every" default:"256" usage:"number of publications after which a snapshot is appended to the log"`
	SnapshotInterval time.Duration `flag:"snapshot-interval" default:"10m" usage:"time after which a snapshot is appended to the log; keep it below a quarter of the log's retention"`
	AuditTrails      int           `flag:"audit-trails" default:"10000" usage:"maximum number of requests whose audit trails are kept in memory"`

	TLSCert  string `flag:"tls-cert" usage:"certificate file (PEM)"`
	TLSKey   string `flag:"tls-key" usage:"key file (PEM)"`
	TLSCA    string `flag:"tls-ca" usage:"file with the CA of the fleet's certificates (PEM)"`
	LogLevel string `flag:"log-level" default:"info" usage:"debug, info, warn or error"`
	PProf    bool   `flag:"pprof" usage:"serve profiles under /debug/pprof/ on the admin listener"`

	PrintSettings bool `flag:"print-settings" usage:"print the effective settings and exit"`
}

// Validate returns all errors in the settings.
func (s *Settings) Validate() []error {
	var errs settings.Errors
	s.validateAddresses(&errs)
	s.validateLimits(&errs)
	if _, ok := orderings[s.Ordering]; !ok {
		errs.Add("ordering: %q is not fair, fcfs or router-fair", s.Ordering)
	}
	if _, ok := placements[s.Placement]; !ok {
		errs.Add("placement: %q is not affinity or random", s.Placement)
	}
	errs.AddError(s.tlsFiles().Validate())
	errs.LogLevel(s.LogLevel)
	return errs.All()
}

func (s *Settings) validateAddresses(errs *settings.Errors) {
	errs.Address("listen", s.Listen)
	errs.Address("fleet-listen", s.FleetListen)
	errs.Address("admin-listen", s.AdminListen)
	errs.OptionalAddress("advertise", s.Advertise)
	for _, peer := range s.peers() {
		errs.Address("peers", peer)
	}
	errs.OptionalURL("log-url", s.LogURL)
	errs.OptionalURL("hosts-url", s.HostsURL)
	if s.LogURL == "" && s.Peers == "" && s.HostsURL == "" {
		errs.Add("log-url, peers or hosts-url must be set, or the router never gets a configuration")
	}
	if s.Fleet == "" {
		errs.Add("fleet must not be empty")
	}
}

func (s *Settings) validateLimits(errs *settings.Errors) {
	errs.Positive("max-body", s.MaxBody)
	errs.Positive("max-held-body", s.MaxHeldBody)
	errs.Positive("team-queue-count", int64(s.TeamQueueCount))
	errs.Positive("team-queue-bytes", s.TeamQueueBytes)
	errs.Positive("queue-timeout", int64(s.QueueTimeout))
	errs.Positive("answer-timeout", int64(s.ResponseTimeout))
	errs.Positive("answer-idle-timeout", int64(s.IdleTimeout))
	errs.Positive("body-timeout", int64(s.BodyTimeout))
	errs.Positive("drain-timeout", int64(s.DrainTimeout))
	errs.Positive("key-window", int64(s.KeyWindow))
	errs.Positive("key-timeout", int64(s.KeyTimeout))
	errs.Positive("snapshot-every", int64(s.SnapshotEvery))
	errs.Positive("snapshot-interval", int64(s.SnapshotInterval))
	errs.Positive("audit-trails", int64(s.AuditTrails))
	if s.MaxHeldBody < s.MaxBody {
		errs.Add("max-held-body must not be below max-body")
	}
}

func (s *Settings) peers() []string { return settings.List(s.Peers) }

func (s *Settings) tlsFiles() tlsconf.Files {
	return tlsconf.Files{Certificate: s.TLSCert, Key: s.TLSKey, CA: s.TLSCA}
}
