package encrypter_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/encrypter"
	"github.com/gullvale/gullvale/internal/standin/signer"
)

// greeting is longer than a TLS record header, so that an end that expects TLS detects
// plain text.
const greeting = "a greeting of more bytes than the head of a record"

func load(t *testing.T, f encrypter.Files) *encrypter.Encrypter {
	t.Helper()
	e := &encrypter.Encrypter{Files: f}
	if err := e.Load(); err != nil {
		t.Fatal(err)
	}
	return e
}

// exchangeGreeting connects to a listener of b with dial, sends the greeting and reads it
// back. It returns the first error of the dialling side.
func exchangeGreeting(t *testing.T, b *encrypter.Encrypter, dial func(context.Context, string) (net.Conn, error)) error {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := b.Listener(inner)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = io.CopyN(c, c, int64(len(greeting)))
			c.Close()
		}
	}()
	c, err := dial(context.Background(), inner.Addr().String())
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := io.WriteString(c, greeting); err != nil {
		return err
	}
	_, err = io.ReadFull(c, make([]byte, len(greeting)))
	return err
}

func TestOnlyTrustedCertificatesAreAccepted(t *testing.T) {
	ours, theirs := signer.New(), signer.New()
	later := time.Now().Add(time.Hour)
	b := load(t, ours.Files(t.TempDir(), later, ours))
	plain := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	noCertificate := func(ctx context.Context, address string) (net.Conn, error) {
		d := tls.Dialer{Config: &tls.Config{InsecureSkipVerify: true}}
		return d.DialContext(ctx, "tcp", address)
	}
	for _, c := range []struct {
		name string
		dial func(context.Context, string) (net.Conn, error)
		ok   bool
	}{
		{"same authority", load(t, ours.Files(t.TempDir(), later, ours)).Dial, true},
		{"other authority", load(t, theirs.Files(t.TempDir(), later, theirs, ours)).Dial, false},
		{"listener's authority not trusted", load(t, ours.Files(t.TempDir(), later, theirs)).Dial, false},
		{"expired", load(t, ours.Files(t.TempDir(), time.Now().Add(-time.Minute), ours)).Dial, false},
		{"no certificate", noCertificate, false},
		{"no TLS", plain, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(exchangeGreeting(t, b, c.dial) == nil, c.ok)
		})
	}
}

// TestKeysAreReplacedWithoutRestart adds a second trusted authority while a daemon runs,
// then replaces a certificate by an invalid file, which must leave the previous
// credentials in use.
func TestKeysAreReplacedWithoutRestart(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ours, next := signer.New(), signer.New()
	later := time.Now().Add(time.Hour)
	dir := t.TempDir()
	reloads := make(chan error, 10)
	b := load(t, ours.Files(dir, later, ours))
	b.Reloaded = func(err error) { reloads <- err }
	go b.Run(ctx)
	successor := load(t, next.Files(t.TempDir(), later, next, ours))
	is.True(exchangeGreeting(t, b, successor.Dial) != nil)
	awaitReload := func(ok bool) {
		// The files are written one after the other, so a reload may see only some
		// of the new ones.
		for err := range reloads {
			if (err == nil) == ok {
				return
			}
		}
	}
	ours.Files(dir, later, ours, next)
	awaitReload(true)
	is.NoErr(exchangeGreeting(t, b, successor.Dial))
	is.NoErr(os.WriteFile(filepath.Join(dir, "link.pem"), []byte("no certificate"), 0o600))
	awaitReload(false)
	is.NoErr(exchangeGreeting(t, b, successor.Dial))
}

func TestLoadErrorNamesTheSetting(t *testing.T) {
	is := is.New(t)
	a := signer.New()
	f := a.Files(t.TempDir(), time.Now().Add(time.Hour), a)
	is.NoErr(os.WriteFile(f.Authority, nil, 0o600))
	e := encrypter.Encrypter{Files: f}
	err := e.Load()
	is.True(err != nil)
	is.True(len(err.Error()) > 0 && err.Error()[:17] == "LinkTLS.Authority")
	e.Files.Key = "nowhere"
	err = e.Load()
	is.True(err != nil && err.Error()[:19] == "LinkTLS.Certificate")
}
