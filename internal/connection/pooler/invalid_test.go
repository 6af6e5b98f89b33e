package pooler_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/standin/responder"
)

// invalidResponses are bytes that net/http takes for a success.
var invalidResponses = map[string]string{
	"status 000":   responder.Respond("000 Trouble", "", "bad"),
	"invalid name": responder.Respond("200 OK", "Bad : x\r\n", "bad"),
}

// TestInvalidResponseIsNoHealth guards against an upstream in trouble that a probe takes for a healthy
// one.
func TestInvalidResponseIsNoHealth(t *testing.T) {
	for name, invalid := range invalidResponses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &responder.Responder{Bodies: make(chan responder.Body, 100), Response: func(*http.Request) string { return invalid }}
			o, _ := newOwner(settings(1, 1, u.Start(t)))
			probed := make(chan bool, 100)
			o.Probed = func(_ pooler.Key, _ string, ok bool) { probed <- ok }
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go o.RunUpkeep(ctx)
			is.True(!<-probed)
		})
	}
}
