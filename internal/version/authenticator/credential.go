package authenticator

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// maxCredentialLength is the length in bytes above which no credential is looked at.
const maxCredentialLength = 256

// The reasons for which a request has no credential that could be one.
const (
	// Sound is a credential that may be an API key.
	Sound CredentialStatus = ""
	// Missing is none at all, or an empty one.
	Missing CredentialStatus = "no key"
	// Repeated is more than one: which of them counts must not be a matter of who reads.
	Repeated CredentialStatus = "several keys"
	// Malformed is one that no API key looks like.
	Malformed CredentialStatus = "malformed key"
)

type (
	// Digest stands for an API key. It is cut from a cryptographic hash: whoever reads it
	// does not know the key.
	Digest [16]byte

	// CredentialStatus says why a request carries no credential that could be an API key.
	CredentialStatus string
)

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:len(Digest{})])
}

// ParseDigest reads what String returns.
func ParseDigest(s string) (d Digest, err error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		// The text is not repeated here: it may be a key that was written by mistake.
		return d, eris.Errorf("digest of a key is not %d hexadecimal digits", hex.EncodedLen(len(d)))
	}
	return Digest(b), nil
}

// String returns the digest in hexadecimal digits.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// Credential returns the one credential among the values of a header field.
func Credential(values []string) (string, CredentialStatus) {
	switch {
	case len(values) == 0 || len(values) == 1 && values[0] == "":
		return "", Missing
	case len(values) > 1:
		return "", Repeated
	case !wellFormed(values[0]):
		return "", Malformed
	}
	return values[0], Sound
}

// wellFormed tells whether an API key may look so: printable ASCII without spaces or commas, by
// which fields are joined on their way.
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
