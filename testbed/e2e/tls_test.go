package e2e

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
	"github.com/acaciaspar/acaciaspar/transport/fleethttp"
	"github.com/acaciaspar/acaciaspar/transport/tlsconf"
)

// certificateValidity is longer than any test run.
const certificateValidity = time.Hour

// testCA is a certificate authority created by a test.
type testCA struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-certificateValidity), NotAfter: time.Now().Add(certificateValidity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	return &testCA{t: t, cert: cert, key: key}
}

// issue writes a certificate for 127.0.0.1, its key and the CA certificate to
// files in dir.
func (ca *testCA) issue(dir string, serial int64) tlsconf.Files {
	ca.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(ca.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "member"},
		NotBefore: time.Now().Add(-certificateValidity), NotAfter: time.Now().Add(certificateValidity),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	must.NoError(ca.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must.NoError(ca.t, err)
	files := tlsconf.Files{
		Certificate: filepath.Join(dir, "member.crt"),
		Key:         filepath.Join(dir, "member.key"),
		CA:          filepath.Join(dir, "ca.crt"),
	}
	ca.writePEM(files.Certificate, "CERTIFICATE", der)
	ca.writePEM(files.Key, "EC PRIVATE KEY", keyDER)
	ca.writePEM(files.CA, "CERTIFICATE", ca.cert.Raw)
	return files
}

func (ca *testCA) writePEM(name, kind string, der []byte) {
	ca.t.Helper()
	must.NoError(ca.t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// deployTLS deploys a fleet that uses the given TLS files.
func deployTLS(t *testing.T, files tlsconf.Files, o deployOptions) *deployment {
	t.Helper()
	o.prepare = func(f *fleet.Fleet) { f.UseTLS(files) }
	return deploy(t, o)
}

// listeners returns the addresses of all TLS listeners.
func (d *deployment) listeners() []string {
	var addresses []string
	for _, r := range d.routers {
		addresses = append(addresses, r.Address("callers"), r.Address("fleet"))
	}
	for _, a := range append(d.modelAgents, d.plainAgent) {
		addresses = append(addresses, a.Address("fleet"))
	}
	return addresses
}

// mustServeTLS sends a streamed completion and a booking, checks both responses
// and returns that of the completion.
func (d *deployment) mustServeTLS(id string) *fleet.Response {
	d.t.Helper()
	response := d.Call(completion(d.routers[0], teamName(0), id, 20))
	mustComplete(d.t, id, 20, response)
	booked := d.Call(booking(d.routers[1], teamName(1), id))
	must.True(d.t, booked.Complete(), must.Sprintf("%+v", booked))
	must.Eq(d.t, 1, d.bookings()[id])
	return response
}

// Guards against a fleet that serves no requests, or an operators' tool that
// reaches no router, when TLS is enabled.
func TestRequestsOverTLS(t *testing.T) {
	t.Parallel()
	d := deployTLS(t, newTestCA(t).issue(t.TempDir(), 2), deployOptions{routers: 2, teams: 2})
	response := d.mustServeTLS("over-tls")
	status := d.QueryRouters(d.routers[:1], "status")
	must.Eq(t, 0, status.Code, must.Sprint(status.Stderr))
	must.StrContains(t, status.Stdout, "versions in force: 1 on 2 routers")
	auditTrail := d.QueryRouters(d.routers[1:], "audit", "-request", response.Header.Get(outcome.RequestHeader))
	must.Eq(t, 0, auditTrail.Code, must.Sprint(auditTrail.Stderr))
	must.StrContains(t, auditTrail.Stdout, `"finished"`)

	withoutTLS := d.RunTool("status", "-fleet", d.Name, "-routers", d.routers[0].FleetAddress())
	must.Eq(t, 1, withoutTLS.Code)
	must.StrContains(t, withoutTLS.Stderr, "no router answered")
}

// Guards against requests or control messages that are accepted from a process
// outside the fleet.
func TestTLSRefusesClientsOfOtherCA(t *testing.T) {
	t.Parallel()
	files := newTestCA(t).issue(t.TempDir(), 2)
	untrusted := newTestCA(t).issue(t.TempDir(), 3)
	d := deployTLS(t, files, deployOptions{routers: 2, teams: 2})
	untrustedCert, err := tls.LoadX509KeyPair(untrusted.Certificate, untrusted.Key)
	must.NoError(t, err)
	roots := d.LoadCertPool(files.CA)
	callers := map[string]*tls.Config{
		"without a certificate":            {RootCAs: roots},
		"with a certificate of another CA": {RootCAs: roots, Certificates: []tls.Certificate{untrustedCert}},
	}
	targets := []string{
		d.modelAgents[0].Address("fleet") + "/fleet/v1/work",
		d.routers[0].Address("fleet") + "/twirp/acaciaspar.fleet.v1.Control/Status",
	}
	for description, config := range callers {
		client := fleethttp.NewClient(config)
		for _, target := range targets {
			resp, err := client.Post("https://"+target, "application/protobuf", strings.NewReader(""))
			if err == nil {
				_ = resp.Body.Close()
			}
			must.Error(t, err, must.Sprintf("a caller %s reached %s", description, target))
		}
		client.CloseIdleConnections()
	}
	for _, e := range d.engines {
		must.SliceEmpty(t, d.executions(e))
	}
	must.Eq(t, 0, d.Metric(d.modelAgents[0], "agent.refused.malformed"))
	// The same message with the fleet's certificate reaches the agent.
	source, err := tlsconf.Open(files)
	must.NoError(t, err)
	resp, err := fleethttp.NewClient(source.FleetClientConfig()).Post("https://"+targets[0], "application/protobuf", strings.NewReader(""))
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusConflict, resp.StatusCode)
	must.Eq(t, 1, d.Metric(d.modelAgents[0], "agent.refused.malformed"))
	d.mustServeTLS("after-refusal")
}

// presentedSerial returns the serial number of the certificate that a listener
// presents on a new connection, or 0 if the connection fails.
func presentedSerial(address string, config *tls.Config) int64 {
	dialer := &tls.Dialer{Config: config}
	ctx, cancel := context.WithTimeout(context.Background(), fleet.WaitTimeout)
	defer cancel()
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// recordPeerCertificates listens for fleet connections and returns its address
// and the serial number of the last client certificate. It closes each connection
// after the handshake.
func recordPeerCertificates(t *testing.T, files tlsconf.Files) (address string, last *atomic.Int64) {
	t.Helper()
	source, err := tlsconf.Open(files)
	must.NoError(t, err)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", source.FleetServerConfig())
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	last = new(atomic.Int64)
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer accepted.Close()
				conn := accepted.(*tls.Conn)
				if conn.Handshake() == nil {
					last.Store(conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64())
				}
			}()
		}
	}()
	return listener.Addr().String(), last
}

// Guards against certificates that are read only at startup, and against a
// replacement of certificates that interrupts requests in progress.
func TestTLSCertificateReload(t *testing.T) {
	t.Parallel()
	const before, after = 2, 3
	dir := t.TempDir()
	ca := newTestCA(t)
	files := ca.issue(dir, before)
	peer, clientSerial := recordPeerCertificates(t, ca.issue(t.TempDir(), 9))
	d := deployTLS(t, files, deployOptions{routers: 2, teams: 2, extraPeer: peer})
	config := &tls.Config{RootCAs: d.LoadCertPool(files.CA)}
	cert, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	must.NoError(t, err)
	config.Certificates = []tls.Certificate{cert}
	for _, address := range d.listeners() {
		must.Eq(t, before, presentedSerial(address, config))
	}
	d.Eventually("a router presents its certificate", func() bool { return clientSerial.Load() == before })
	streams := d.openStreams(d.routers[0], 4, longStreamTokens)
	ca.issue(dir, after)
	for _, address := range d.listeners() {
		d.Eventually("new connections use the new certificate", func() bool { return presentedSerial(address, config) == after })
	}
	d.Eventually("a router presents its new certificate", func() bool { return clientSerial.Load() == after })
	d.mustServeTLS("after-replacement")
	for _, s := range streams {
		mustComplete(t, s.prompt, s.tokens, s.Wait())
	}
	// A process that starts with the new certificate can connect to the others.
	d.routers[1].Stop()
	d.routers[1].Start()
	d.awaitConverged(1)
	d.mustServeTLS("after-restart")
}

// Guards against a process that starts without TLS, or reports only the
// first invalid setting, when only some of the TLS files are set.
func TestPartialTLSFilesRefused(t *testing.T) {
	t.Parallel()
	f := fleet.New(t, "part-tls")
	files := newTestCA(t).issue(t.TempDir(), 2)
	flags := []struct{ name, value string }{
		{"tls-cert", files.Certificate}, {"tls-key", files.Key}, {"tls-ca", files.CA},
	}
	for subset := 1; subset < 1<<len(flags)-1; subset++ {
		var args, missing []string
		for i, flag := range flags {
			if subset&(1<<i) != 0 {
				args = append(args, "-"+flag.name, flag.value)
			} else {
				missing = append(missing, flag.name)
			}
		}
		runs := []fleet.Result{
			f.RunTool(append([]string{"router", "-fleet="}, args...)...),
			f.RunAgent(append([]string{"-fleet="}, args...)...),
			f.RunTool(append([]string{"status", "-timeout=-1s"}, args...)...),
		}
		otherErrors := []string{"fleet", "fleet", "timeout"}
		for i, run := range runs {
			must.Eq(t, 2, run.Code, must.Sprintf("%v: %s", args, run.Stderr))
			must.StrContains(t, run.Stderr, "tls-cert, tls-key and tls-ca must be set together")
			must.StrContains(t, run.Stderr, "not set: "+strings.Join(missing, ", "))
			must.StrContains(t, run.Stderr, otherErrors[i]+" must")
		}
	}
}

// Guards against a TLS listener that responds to a message before the handshake has
// authenticated the sender.
func TestTLSListenersIgnorePlainText(t *testing.T) {
	t.Parallel()
	d := deployTLS(t, newTestCA(t).issue(t.TempDir(), 2), deployOptions{routers: 2, teams: 2})
	for _, address := range d.listeners() {
		conn, err := net.Dial("tcp", address)
		must.NoError(t, err)
		must.NoError(t, conn.SetDeadline(time.Now().Add(fleet.WaitTimeout)))
		_, err = io.WriteString(conn, "POST /fleet/v1/work HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		must.NoError(t, err)
		// The connection may only end with a reset, a TLS alert or the fixed
		// response of Go's HTTP server to plain text on a TLS listener.
		response, _ := io.ReadAll(conn)
		must.False(t, bytes.Contains(response, []byte("Acaciaspar")), must.Sprintf("%s", response))
		must.NoError(t, conn.Close())
	}
	d.mustServeTLS("after-plain-text")
}
