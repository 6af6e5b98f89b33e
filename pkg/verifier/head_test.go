package verifier_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/verifier"
)

// TestInvalidHeadIsAnError guards against a head that one reader refuses and another one takes, and a
// valid head that is refused.
func TestInvalidHeadIsAnError(t *testing.T) {
	tests := []struct {
		name            string
		status          int
		field           string
		interim, isFine bool
	}{
		{"interim", 100, "Link", true, true},
		{"protocol switch", 101, "Upgrade", true, true},
		{"success", 200, "X-Own", false, true},
		{"failure", 599, "X!#$%&'*+-.^_`|~9", false, true},
		{"no status", 0, "X", false, false},
		{"low", 99, "X", false, false},
		{"high", 600, "X", false, false},
		{"blank", 200, "X Y", false, false},
		{"blank at the end", 200, "Content-Length ", false, false},
		{"control byte", 200, "X\x01", false, false},
		{"empty name", 200, "", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{tt.field: {"v"}}
			err, final := verifier.CheckHead(tt.status, h), verifier.CheckFinal(tt.status, h)
			is.Equal(err == nil, tt.isFine)
			is.Equal(final == nil, tt.isFine && !tt.interim)
			is.Equal(errors.Is(final, verifier.ErrInvalid), final != nil)
		})
	}
}
