// Package tlsconf builds TLS configurations from files and reloads the files
// when they change. Source owns the loaded certificate and CA pool.
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

// reloadInterval is the minimum time between two checks of the files.
const reloadInterval = 2 * time.Second

// Files holds the paths of the PEM files of one process.
type Files struct {
	Certificate string
	Key         string
	// CA is the file of the CA certificates that sign the fleet's certificates.
	CA string
}

// Empty reports whether no file is set, which means that TLS is disabled.
func (f Files) Empty() bool { return f == Files{} }

// Validate returns an error if some but not all files are set.
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

// Source provides TLS configurations that use the current content of the files.
// Its mutex guards the fields below it and is held while files are read.
type Source struct {
	files Files

	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// Open returns a Source with the files loaded. It returns an error if one of the
// three is not set or can't be loaded.
func Open(files Files) (*Source, error) {
	if files.Certificate == "" || files.Key == "" || files.CA == "" {
		return nil, eris.New("certificate, key and CA must be set together")
	}
	s := &Source{files: files}
	modTimes, err := s.statFiles()
	if err != nil {
		return nil, err
	}
	if err := s.load(modTimes); err != nil {
		return nil, err
	}
	s.lastCheck = time.Now()
	return s, nil
}

// statFiles returns the modification times of the certificate, key and CA files.
func (s *Source) statFiles() ([3]time.Time, error) {
	var modTimes [3]time.Time
	for i, name := range []string{s.files.Certificate, s.files.Key, s.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return modTimes, eris.Wrap(err, "read TLS file")
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

// load reads the files; modTimes are their modification times.
func (s *Source) load(modTimes [3]time.Time) error {
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
		return eris.Errorf("CA file %s contains no certificate", s.files.CA)
	}
	s.cert, s.pool, s.modTimes = &cert, pool, modTimes
	return nil
}

// current returns the certificate and the CA pool, and reloads changed files
// first. If the files can't be read or don't match, for example during a
// replacement, it returns the last ones that were loaded successfully.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastCheck) >= reloadInterval {
		s.lastCheck = time.Now()
		modTimes, err := s.statFiles()
		if err == nil && modTimes != s.modTimes {
			_ = s.load(modTimes)
		}
	}
	return s.cert, s.pool
}

// CallerServerConfig returns the TLS configuration of a listener for callers.
func (s *Source) CallerServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
	}
}

// FleetServerConfig returns the TLS configuration of a listener that accepts only
// clients with a certificate signed by the fleet's CA.
func (s *Source) FleetServerConfig() *tls.Config {
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

// FleetClientConfig returns the TLS configuration for calls to other processes of the
// fleet. Processes are called by IP address, so the server's certificate is
// verified against the CA but not against a host name.
func (s *Source) FleetClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		// VerifyConnection replaces the default verification, which requires
		// a host name or IP address in every certificate.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, pool := s.current()
			return verifyServer(state, pool)
		},
	}
}

func verifyServer(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("verify the server's certificate: none was sent")
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
