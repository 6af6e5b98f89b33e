package encrypter

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// reloadInterval is the time between two checks of the files for changes.
const reloadInterval = time.Second

type (
	// Files are the paths of the certificate and key of a daemon and of the trusted
	// certificate authorities, all in PEM. The authority file may hold several
	// certificates, so that an old and a new authority are trusted together.
	Files struct {
		Certificate string
		Key         string
		Authority   string
	}

	// Encrypter wraps connections between daemons in TLS. Load must have succeeded
	// before any other method is called.
	Encrypter struct {
		Files Files
		// Reloaded is called after each reload of changed files. On error the
		// previous credentials stay in use. It may be nil.
		Reloaded func(error)

		credentials    atomic.Pointer[credentials]
		loadedModTimes [3]time.Time
	}

	// credentials is the parsed content of the files.
	credentials struct {
		certificate tls.Certificate
		authorities *x509.CertPool
	}
)

// Load reads the files and puts the credentials into use. After an error, Run does not
// read the files again until one of them changes.
func (e *Encrypter) Load() error {
	// Read the modification times first: a write during the load then causes another
	// reload.
	e.loadedModTimes = e.modTimes()
	certificate, err := tls.LoadX509KeyPair(e.Files.Certificate, e.Files.Key)
	if err != nil {
		return eris.Wrap(err, "LinkTLS.Certificate and LinkTLS.Key")
	}
	text, err := os.ReadFile(e.Files.Authority)
	if err != nil {
		return eris.Wrap(err, "LinkTLS.Authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return eris.Errorf("LinkTLS.Authority: no certificate in %s", e.Files.Authority)
	}
	e.credentials.Store(&credentials{certificate: certificate, authorities: pool})
	return nil
}

// Run reloads the files when they change, until ctx is done. If the new files are
// invalid, the previous credentials stay in use.
func (e *Encrypter) Run(ctx context.Context) {
	timekeeper.Every(ctx, reloadInterval, e.reload)
}

func (e *Encrypter) reload() {
	if e.modTimes() == e.loadedModTimes {
		return
	}
	err := e.Load()
	if e.Reloaded != nil {
		e.Reloaded(err)
	}
}

// modTimes returns the modification times of the files, zero for a missing file.
func (e *Encrypter) modTimes() [3]time.Time {
	var out [3]time.Time
	for i, name := range []string{e.Files.Certificate, e.Files.Key, e.Files.Authority} {
		if s, err := os.Stat(name); err == nil {
			out[i] = s.ModTime()
		}
	}
	return out
}

// RemainingValidity returns the remaining validity of this daemon's certificate at a
// wall-clock time. It is negative after expiry.
func (e *Encrypter) RemainingValidity(wall timekeeper.Millis) timekeeper.Millis {
	return timekeeper.Millis(e.credentials.Load().certificate.Leaf.NotAfter.UnixMilli()) - wall
}

// Listener returns a listener that accepts TLS connections from l.
func (e *Encrypter) Listener(l net.Listener) net.Listener {
	return tls.NewListener(l, e.config())
}

// Dial connects to an address over TCP and completes the TLS handshake.
func (e *Encrypter) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	t := tls.Client(conn, e.config())
	if err := t.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, eris.Wrapf(err, "TLS handshake with %s", address)
	}
	return t, nil
}

// config returns a TLS configuration that uses the current credentials at each handshake.
// Names in certificates are not verified, because daemons are addressed by IP addresses,
// which change whenever a VM is replaced. The authority must sign certificates for daemons
// only.
func (e *Encrypter) config() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // verifyChain checks the certificate instead
		VerifyConnection:       e.verifyChain,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &e.credentials.Load().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &e.credentials.Load().certificate, nil
		},
	}
}

// verifyChain verifies the certificate chain of the peer against the current authorities.
func (e *Encrypter) verifyChain(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return eris.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         e.credentials.Load().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
