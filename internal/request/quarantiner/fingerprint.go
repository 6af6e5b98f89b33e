package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

type (
	// Fingerprint identifies a request: requests with the same method, host, target, caller
	// and body have the same one. It is truncated from a cryptographic hash, so that nobody
	// can forge a request with the fingerprint of another one.
	Fingerprint [16]byte

	// Content is what a fingerprint is computed from.
	Content struct {
		Method string
		Host   string
		// Target is the path and query.
		Target string
		// Caller holds everything that identifies the caller, such as credentials: the same
		// bytes sent by two organisations are different requests.
		Caller []string
		// Body is the whole body, or its beginning if the whole is not available.
		Body []byte
		// Length is the length of the whole body in bytes, or -1 if it is unknown.
		Length int64
	}
)

// credentialFields are the standard header fields that identify the caller.
var credentialFields = []string{"Authorization", "Cookie"}

// CallerCredentials returns the values of the standard header fields that identify the caller.
func CallerCredentials(h http.Header) (values []string) {
	for _, n := range credentialFields {
		values = append(values, h[http.CanonicalHeaderKey(n)]...)
	}
	return values
}

// Fingerprint returns the fingerprint of the request.
func (c Content) Fingerprint() (f Fingerprint) {
	h := sha256.New()
	writeField(h, c.Method)
	writeField(h, strings.ToLower(c.Host))
	writeField(h, c.Target)
	writeField(h, strconv.Itoa(len(c.Caller)))
	for _, s := range c.Caller {
		writeField(h, s)
	}
	writeField(h, strconv.FormatInt(c.Length, 10))
	_, _ = h.Write(c.Body)
	copy(f[:], h.Sum(nil))
	return f
}

// writeField writes a field preceded by its length, so that different lists of fields never
// write the same bytes.
func writeField(h hash.Hash, s string) {
	_, _ = io.WriteString(h, strconv.Itoa(len(s)))
	_, _ = io.WriteString(h, ":")
	_, _ = io.WriteString(h, s)
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// ParseFingerprint parses the result of String.
func ParseFingerprint(s string) (f Fingerprint, err error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, eris.Errorf("fingerprint %q is not %d hexadecimal digits", s, hex.EncodedLen(len(f)))
	}
	return Fingerprint(b), nil
}
