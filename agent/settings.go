package agent

import (
	"time"

	"github.com/acaciaspar/acaciaspar/settings"
	"github.com/acaciaspar/acaciaspar/transport/tlsconf"
)

// Settings holds the agent's settings. The tags define flag, default and usage text.
type Settings struct {
	Listen      string `flag:"listen" default:"127.0.0.1:0" usage:"address of the listener for routers"`
	AdminListen string `flag:"admin-listen" default:"127.0.0.1:0" usage:"address of the listener for metrics, status and health checks"`
	Advertise   string `flag:"advertise" usage:"address that routers use to reach the listener (default: its own address)"`
	Zone        string `flag:"zone" usage:"availability zone of this host"`
	Fleet       string `flag:"fleet" default:"acaciaspar" usage:"name of the fleet"`
	Endpoint    string `flag:"endpoint" usage:"name of the endpoint in the configuration"`
	EndpointURL string `flag:"endpoint-url" usage:"base URL of the endpoint"`
	Routers     string `flag:"routers" usage:"fleet addresses of routers, separated by commas"`
	HostsURL    string `flag:"hosts-url" usage:"URL of the platform's host list"`
	LogURL      string `flag:"log-url" usage:"base URL of the platform's log, used to obtain fencing numbers"`

	StartTimeout time.Duration `flag:"start-timeout" default:"10s" usage:"maximum time from accepting a request to sending it to the endpoint"`
	DrainTimeout time.Duration `flag:"drain-timeout" default:"15m" usage:"maximum time from SIGTERM to exit"`

	TLSCert  string `flag:"tls-cert" usage:"certificate file (PEM)"`
	TLSKey   string `flag:"tls-key" usage:"key file (PEM)"`
	TLSCA    string `flag:"tls-ca" usage:"file with the CA of the fleet's certificates (PEM)"`
	LogLevel string `flag:"log-level" default:"info" usage:"debug, info, warn or error"`
	PProf    bool   `flag:"pprof" usage:"serve profiles under /debug/pprof/ on the admin listener"`

	PrintSettings bool `flag:"print-settings" usage:"print the effective settings and exit"`
	Version       bool `flag:"version" usage:"print the version and exit"`
}

// Validate returns all errors in the settings.
func (s *Settings) Validate() []error {
	if s.Version {
		return nil
	}
	var errs settings.Errors
	errs.Address("listen", s.Listen)
	errs.Address("admin-listen", s.AdminListen)
	errs.OptionalAddress("advertise", s.Advertise)
	for _, router := range s.routers() {
		errs.Address("routers", router)
	}
	errs.OptionalURL("endpoint-url", s.EndpointURL)
	errs.OptionalURL("hosts-url", s.HostsURL)
	errs.OptionalURL("log-url", s.LogURL)
	for _, r := range []struct{ name, value string }{{"fleet", s.Fleet}, {"endpoint", s.Endpoint}, {"endpoint-url", s.EndpointURL}} {
		if r.value == "" {
			errs.Add("%s must be set", r.name)
		}
	}
	if len(s.routers()) == 0 && s.HostsURL == "" {
		errs.Add("routers or hosts-url must be set, or the agent finds no router")
	}
	if s.StartTimeout <= 0 || s.DrainTimeout <= 0 {
		errs.Add("start-timeout and drain-timeout must be positive")
	}
	errs.AddError(s.tlsFiles().Validate())
	errs.LogLevel(s.LogLevel)
	return errs.All()
}

func (s *Settings) routers() []string { return settings.List(s.Routers) }

func (s *Settings) tlsFiles() tlsconf.Files {
	return tlsconf.Files{Certificate: s.TLSCert, Key: s.TLSKey, CA: s.TLSCA}
}
