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

// UseTLS has the routers and agents that start later use these files. Callers
// of the fleet trust its CA, and the harness itself uses the certificate to
// ask for the status.
func (f *Fleet) UseTLS(files tlsconf.Files) {
	f.run.Helper()
	source, err := tlsconf.Open(files)
	if err != nil {
		f.run.Fatalf("open the TLS files: %v", err)
	}
	f.tls = files
	f.control = fleetrpc.NewCaller(f.control.Identity(), configstore.New(), fleethttp.NewClient(source.FleetClient()), "https")
	f.callers = &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		TLSClientConfig:   &tls.Config{RootCAs: f.Roots(files.CA)},
	}}
}

// Roots returns a pool of the certificates in a file.
func (f *Fleet) Roots(path string) *x509.CertPool {
	f.run.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		f.run.Fatalf("read the CA: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		f.run.Fatalf("%s holds no certificate", path)
	}
	return pool
}

// scheme returns the scheme of the callers' listeners.
func (f *Fleet) scheme() string {
	if f.tls.Empty() {
		return "http"
	}
	return "https"
}

// tlsFlags returns the flags of a router, an agent or the operators' tool.
func (f *Fleet) tlsFlags() []string {
	if f.tls.Empty() {
		return nil
	}
	return []string{"-tls-cert", f.tls.Certificate, "-tls-key", f.tls.Key, "-tls-ca", f.tls.CA}
}
