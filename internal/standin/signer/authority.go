// Package signer is a test certificate authority: it signs the certificates of
// daemons and writes the files that their settings name. It panics if randomness
// or the file system fails.
package signer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/gullvale/gullvale/internal/connection/encrypter"
)

const (
	fileMode        = 0o600
	serialBits      = 62
	notBeforeOffset = -time.Hour
)

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New returns an authority whose certificate is valid for an hour.
func New() *Authority {
	a := &Authority{key: newKey()}
	a.cert = a.sign(nil, &a.key.PublicKey, time.Now().Add(time.Hour))
	return a
}

// Files writes the files of a daemon to dir: a certificate signed by a and valid
// until the given time, its key, and the authorities to trust.
func (a *Authority) Files(dir string, until time.Time, trust ...*Authority) encrypter.Files {
	key := newKey()
	der := must(x509.MarshalPKCS8PrivateKey(key))
	f := encrypter.Files{
		Certificate: filepath.Join(dir, "link.pem"),
		Key:         filepath.Join(dir, "link.key"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	var trusted []byte
	for _, authority := range trust {
		trusted = append(trusted, encodePEM("CERTIFICATE", authority.cert.Raw)...)
	}
	writeFile(f.Certificate, encodePEM("CERTIFICATE", a.sign(a.cert, &key.PublicKey, until).Raw))
	writeFile(f.Key, encodePEM("PRIVATE KEY", der))
	writeFile(f.Authority, trusted)
	return f
}

// sign issues a certificate for a key. A nil parent makes it a self-signed authority.
func (a *Authority) sign(parent *x509.Certificate, key *ecdsa.PublicKey, until time.Time) *x509.Certificate {
	c := &x509.Certificate{
		SerialNumber: must(rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))),
		Subject:      pkix.Name{CommonName: "gullvale"},
		NotBefore:    time.Now().Add(notBeforeOffset),
		NotAfter:     until,
		IsCA:         parent == nil,
		KeyUsage:     x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,

		BasicConstraintsValid: true,
	}
	if parent == nil {
		parent = c
	}
	der := must(x509.CreateCertificate(rand.Reader, c, parent, key, a.key))
	return must(x509.ParseCertificate(der))
}

func newKey() *ecdsa.PrivateKey {
	return must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

func writeFile(name string, data []byte) {
	if err := os.WriteFile(name, data, fileMode); err != nil {
		panic("signer: " + err.Error())
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic("signer: " + err.Error())
	}
	return v
}
