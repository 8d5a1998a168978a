package tlsconf

import (
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
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// authority is a test CA.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	return &authority{cert: cert, key: key}
}

// issue writes a new key, a certificate signed by the authority and the CA
// certificate into dir.
func (a *authority) issue(t *testing.T, dir, name string, serial int64) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	files := Files{
		Certificate: filepath.Join(dir, name+".crt"),
		Key:         filepath.Join(dir, name+".key"),
		CA:          filepath.Join(dir, name+".ca"),
	}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, files.CA, "CERTIFICATE", a.cert.Raw)
	return files
}

func writePEM(t *testing.T, name, kind string, der []byte) {
	must.NoError(t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// dial opens one TLS connection to a fleet server and returns the serial number of its certificate.
func dial(server *Source, client *tls.Config) (int64, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server.FleetServerConfig())
	if err != nil {
		return 0, err
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "ok")
		_ = c.Close()
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return 0, err
	}
	defer raw.Close()
	c := tls.Client(raw, client)
	// With TLS 1.3 the client gets the error for a rejected certificate at its first read.
	if _, err := io.ReadAll(c); err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against a fleet listener that accepts a client without a certificate of
// the fleet's CA, and against a client that accepts a server of another CA.
func TestCertificatesOfOtherCAsAreRejected(t *testing.T) {
	dir := t.TempDir()
	fleetCA, foreignCA := newAuthority(t), newAuthority(t)
	server, err := Open(fleetCA.issue(t, dir, "server", 2))
	must.NoError(t, err)
	member, err := Open(fleetCA.issue(t, dir, "member", 3))
	must.NoError(t, err)
	foreignMember, err := Open(foreignCA.issue(t, dir, "foreign", 4))
	must.NoError(t, err)

	_, err = dial(server, member.FleetClientConfig())
	must.NoError(t, err)
	_, err = dial(server, &tls.Config{InsecureSkipVerify: true})
	must.Error(t, err)
	foreignWithoutVerify := foreignMember.FleetClientConfig()
	foreignWithoutVerify.VerifyConnection = nil
	_, err = dial(server, foreignWithoutVerify)
	must.Error(t, err)
	_, err = dial(foreignMember, member.FleetClientConfig())
	must.ErrorContains(t, err, "verify the server's certificate")
}

// Guards against using an old certificate until the process restarts, and against
// losing the loaded certificate when a replacement is incomplete.
func TestChangedFilesAreReloaded(t *testing.T) {
	dir := t.TempDir()
	fleetCA := newAuthority(t)
	server, err := Open(fleetCA.issue(t, dir, "server", 2))
	must.NoError(t, err)
	member, err := Open(fleetCA.issue(t, dir, "member", 3))
	must.NoError(t, err)

	// forceReload makes the next handshake reload the files.
	forceReload := func() {
		server.mu.Lock()
		server.lastCheck = time.Time{}
		server.modTimes = [3]time.Time{}
		server.mu.Unlock()
	}
	fleetCA.issue(t, dir, "server", 5)
	forceReload()
	serial, err := dial(server, member.FleetClientConfig())
	must.NoError(t, err)
	must.Eq(t, 5, serial)

	must.NoError(t, os.WriteFile(server.files.Key, []byte("half"), 0o600))
	forceReload()
	serial, err = dial(server, member.FleetClientConfig())
	must.NoError(t, err)
	must.Eq(t, 5, serial)
}

// Guards against starting with only some of the files set.
func TestOpenRequiresAllFiles(t *testing.T) {
	_, err := Open(Files{Certificate: "a"})
	must.ErrorContains(t, err, "must be set together")
}
