// Package tlsconf builds TLS settings from files and reads the files again
// when they change. Source owns the certificate and the pool in force.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// checkInterval is the shortest time between two looks at the files.
const checkInterval = 2 * time.Second

// Files names the PEM files of one process.
type Files struct {
	Certificate string
	Key         string
	// CA holds the certificates that sign the fleet's certificates.
	CA string
}

// Empty reports whether TLS is off.
func (f Files) Empty() bool { return f == Files{} }

// Validate reports files that aren't set although another one is.
func (f Files) Validate() error {
	if f.Empty() {
		return nil
	}
	var missing []string
	for _, file := range []struct{ flag, path string }{
		{"tls-cert", f.Certificate}, {"tls-key", f.Key}, {"tls-ca", f.CA},
	} {
		if file.path == "" {
			missing = append(missing, file.flag)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	return eris.Errorf("tls-cert, tls-key and tls-ca must be set together, not set: %s", strings.Join(missing, ", "))
}

// Source serves the certificate and the CA pool that the files hold now.
// Its mutex guards the fields below it and is held while files are read.
type Source struct {
	files Files

	mu      sync.Mutex
	checked time.Time
	stamp   [3]time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// Open reads the files. All three must be set.
func Open(files Files) (*Source, error) {
	if files.Certificate == "" || files.Key == "" || files.CA == "" {
		return nil, eris.New("certificate, key and CA must be set together")
	}
	s := &Source{files: files}
	stamp, err := s.stamps()
	if err != nil {
		return nil, err
	}
	if err := s.load(stamp); err != nil {
		return nil, err
	}
	s.checked = time.Now()
	return s, nil
}

func (s *Source) stamps() ([3]time.Time, error) {
	var stamp [3]time.Time
	for i, name := range []string{s.files.Certificate, s.files.Key, s.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return stamp, eris.Wrap(err, "read TLS file")
		}
		stamp[i] = info.ModTime()
	}
	return stamp, nil
}

func (s *Source) load(stamp [3]time.Time) error {
	cert, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return eris.Wrap(err, "load certificate and key")
	}
	pem, err := os.ReadFile(s.files.CA)
	if err != nil {
		return eris.Wrap(err, "read CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return eris.Errorf("%s holds no certificate", s.files.CA)
	}
	s.cert, s.pool, s.stamp = &cert, pool, stamp
	return nil
}

// current returns what the files hold. If they can't be read or don't fit
// together, as in the middle of a replacement, the last good state stays.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) >= checkInterval {
		s.checked = time.Now()
		stamp, err := s.stamps()
		if err == nil && stamp != s.stamp {
			_ = s.load(stamp)
		}
	}
	return s.cert, s.pool
}

// CallerServer returns settings for a listener that serves callers.
func (s *Source) CallerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
	}
}

// FleetServer returns settings for a listener that serves only processes with
// a certificate of the fleet.
func (s *Source) FleetServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2"},
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// FleetClient returns settings for calls to other processes of the fleet.
// Processes are reached by IP address, so the server's certificate is checked
// against the CA and not against a name.
func (s *Source) FleetClient() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		// VerifyConnection below replaces the default check, which would
		// need a name or an address in every certificate.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, pool := s.current()
			return verifyServer(state, pool)
		},
	}
}

func verifyServer(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("the server sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
	})
	return eris.Wrap(err, "verify the server's certificate")
}
