package fleet

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/acaciaspar/acaciaspar/state/configstore"
	"github.com/acaciaspar/acaciaspar/transport/fleethttp"
	"github.com/acaciaspar/acaciaspar/transport/fleetrpc"
	"github.com/acaciaspar/acaciaspar/transport/tlsconf"
)

// UseTLS makes the routers and agents that are started afterwards use these
// files. Callers trust the CA, and status requests of the harness use the
// certificate.
func (f *Fleet) UseTLS(files tlsconf.Files) {
	f.runner.Helper()
	source, err := tlsconf.Open(files)
	if err != nil {
		f.runner.Fatalf("open TLS files: %v", err)
	}
	f.tls = files
	f.control = fleetrpc.NewClientPool(f.control.Identity(), configstore.New(), fleethttp.NewClient(source.FleetClientConfig()), "https")
	f.callerClient = &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		TLSClientConfig:   &tls.Config{RootCAs: f.LoadCertPool(files.CA)},
	}}
}

// LoadCertPool returns a pool with the certificates of a PEM file.
func (f *Fleet) LoadCertPool(path string) *x509.CertPool {
	f.runner.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		f.runner.Fatalf("read CA file: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		f.runner.Fatalf("%s contains no certificate", path)
	}
	return pool
}

// scheme returns the URL scheme of the listeners for callers.
func (f *Fleet) scheme() string {
	if f.tls.Empty() {
		return "http"
	}
	return "https"
}

// tlsFlags returns the TLS flags, which are the same for routers, agents and the
// operators' tool.
func (f *Fleet) tlsFlags() []string {
	if f.tls.Empty() {
		return nil
	}
	return []string{"-tls-cert", f.tls.Certificate, "-tls-key", f.tls.Key, "-tls-ca", f.tls.CA}
}
