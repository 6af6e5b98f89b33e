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

// reloadEvery is the time between two looks at the files.
const reloadEvery = time.Second

type (
	// Files name what a daemon needs to show and to trust, in PEM. An authority
	// file may hold several certificates, old and new.
	Files struct {
		Certificate string
		Key         string
		Authority   string
	}

	// Encrypter wraps connections between daemons. Load must have succeeded
	// before anything else is called.
	Encrypter struct {
		Files Files
		// Reloaded is told of every change of the files, with the error that
		// kept the former keys in use.
		Reloaded func(error)

		keys atomic.Pointer[keys]
		seen [3]time.Time
	}

	// keys is one version of the files.
	keys struct {
		own       tls.Certificate
		authority *x509.CertPool
	}
)

// Load reads the files. When they cannot be used they are not read again until one
// of them changes.
func (e *Encrypter) Load() error {
	// Taken before the files are read: what is written meanwhile is seen later.
	e.seen = e.times()
	own, err := tls.LoadX509KeyPair(e.Files.Certificate, e.Files.Key)
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
	e.keys.Store(&keys{own: own, authority: pool})
	return nil
}

// Run reads the files again when they change, until ctx ends. Files that cannot be
// used leave the former keys in place.
func (e *Encrypter) Run(ctx context.Context) {
	timekeeper.Every(ctx, reloadEvery, e.reload)
}

func (e *Encrypter) reload() {
	if e.times() == e.seen {
		return
	}
	err := e.Load()
	if e.Reloaded != nil {
		e.Reloaded(err)
	}
}

// times returns when the files were last written, zero for one that is not there.
func (e *Encrypter) times() [3]time.Time {
	var out [3]time.Time
	for i, name := range []string{e.Files.Certificate, e.Files.Key, e.Files.Authority} {
		if s, err := os.Stat(name); err == nil {
			out[i] = s.ModTime()
		}
	}
	return out
}

// Left is how long the own certificate is still valid at a wall time.
func (e *Encrypter) Left(wall timekeeper.Millis) timekeeper.Millis {
	return timekeeper.Millis(e.keys.Load().own.Leaf.NotAfter.UnixMilli()) - wall
}

// Listener wraps accepted connections.
func (e *Encrypter) Listener(l net.Listener) net.Listener {
	return tls.NewListener(l, e.config())
}

// Dial connects to an address and shakes hands.
func (e *Encrypter) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	t := tls.Client(conn, e.config())
	if err := t.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, eris.Wrapf(err, "TLS with %s", address)
	}
	return t, nil
}

// config asks for the keys at each handshake. Daemons are known by IP numbers that
// change with every replaced VM, so certificates are not checked for names: the
// authority signs for daemons and nobody else.
func (e *Encrypter) config() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // replaced by verify
		VerifyConnection:       e.verify,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &e.keys.Load().own, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &e.keys.Load().own, nil
		},
	}
}

// verify checks the chain of the other end against the authority in use.
func (e *Encrypter) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return eris.New("no certificate shown")
	}
	between := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         e.keys.Load().authority,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
