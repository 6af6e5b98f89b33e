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
	// Fingerprint stands for a request: the same method, host, target, caller and body give
	// the same one. It is cut from a cryptographic hash, so that nobody can make a request
	// that passes for another one.
	Fingerprint [16]byte

	// Content is what a fingerprint is made of.
	Content struct {
		Method string
		Host   string
		// Target is the path and query.
		Target string
		// CallerCredentials is all that says who asks, such as credentials: two organisations that send
		// the same bytes send different requests.
		Caller []string
		// Body is the whole body, or the beginning of one that is not at hand whole.
		Body []byte
		// Length is the length of the whole body in bytes, -1 if it is not known.
		Length int64
	}
)

// credentialFields are the standard header fields that say who asks.
var credentialFields = []string{"Authorization", "Cookie"}

// CallerCredentials returns the values of the standard fields of a header that say who asks.
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

// writeField writes a field and its length, so that no two lists of fields write the same.
func writeField(h hash.Hash, s string) {
	_, _ = io.WriteString(h, strconv.Itoa(len(s)))
	_, _ = io.WriteString(h, ":")
	_, _ = io.WriteString(h, s)
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// ParseFingerprint reads what String returns.
func ParseFingerprint(s string) (f Fingerprint, err error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, eris.Errorf("fingerprint %q is not %d hexadecimal digits", s, hex.EncodedLen(len(f)))
	}
	return Fingerprint(b), nil
}
