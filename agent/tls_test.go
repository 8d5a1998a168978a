package agent

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/transport/fleethttp"
	"github.com/acaciaspar/acaciaspar/transport/tlsconf"
)

// writeSelfSignedCert writes the files of a self-signed certificate that is its own CA.
func writeSelfSignedCert(t *testing.T) tlsconf.Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	write := func(name, blockType string, der []byte) string {
		path := filepath.Join(t.TempDir(), name)
		must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600))
		return path
	}
	crt := write("crt", "CERTIFICATE", cert)
	return tlsconf.Files{Certificate: crt, Key: write("key", "PRIVATE KEY", private), CA: crt}
}

// Guards against an agent that accepts requests from a client without a certificate
// of the fleet.
func TestClientCertificateRequired(t *testing.T) {
	files := writeSelfSignedCert(t)
	f := startFixture(t, options{handler: func(http.ResponseWriter, *http.Request) {}, configure: func(s *Settings) {
		s.TLSCert, s.TLSKey, s.TLSCA = files.Certificate, files.Key, files.CA
	}})
	health := func(scheme string, config *tls.Config) error {
		client := fleethttp.NewClient(config)
		defer client.CloseIdleConnections()
		resp, err := client.Get(scheme + "://" + f.agent.FleetAddress() + "/healthz")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	source, err := tlsconf.Open(files)
	must.NoError(t, err)
	must.NoError(t, health("https", source.FleetClientConfig()))
	must.Error(t, health("https", &tls.Config{InsecureSkipVerify: true}))
	must.Error(t, health("http", nil))
}
