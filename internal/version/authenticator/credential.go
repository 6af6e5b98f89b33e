package authenticator

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// maxCredentialLength is the maximum length of a credential in bytes. Longer ones are
// malformed.
const maxCredentialLength = 256

// Results of reading the credential of a request.
const (
	// Valid means that the credential is well-formed and may be an API key.
	Valid CredentialStatus = ""
	// Missing means that there is no credential or an empty one.
	Missing CredentialStatus = "no key"
	// Repeated means that there is more than one credential. Such a request is
	// rejected, because different readers could use different ones.
	Repeated CredentialStatus = "several keys"
	// Malformed means that no API key has the form of the credential.
	Malformed CredentialStatus = "malformed key"
)

type (
	// Digest identifies an API key. It is a truncated SHA-256 hash, from which the key
	// cannot be recovered.
	Digest [16]byte

	// CredentialStatus is the reason why a request carries no usable credential, or
	// Valid.
	CredentialStatus string
)

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:len(Digest{})])
}

// ParseDigest parses the output of Digest.String.
func ParseDigest(s string) (d Digest, err error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		// The error omits the text: it may be an API key entered by mistake.
		return d, eris.Errorf("key digest does not consist of %d hexadecimal digits", hex.EncodedLen(len(d)))
	}
	return Digest(b), nil
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// Credential returns the only credential among the values of a header field, or the
// reason why there is none.
func Credential(values []string) (string, CredentialStatus) {
	switch {
	case len(values) == 0 || len(values) == 1 && values[0] == "":
		return "", Missing
	case len(values) > 1:
		return "", Repeated
	case !wellFormed(values[0]):
		return "", Malformed
	}
	return values[0], Valid
}

// wellFormed reports whether credential has the form of an API key: printable ASCII
// without spaces, and without commas, with which proxies join repeated fields.
func wellFormed(credential string) bool {
	if len(credential) > maxCredentialLength {
		return false
	}
	for i := range len(credential) {
		if c := credential[i]; c <= ' ' || c > '~' || c == ',' {
			return false
		}
	}
	return true
}
