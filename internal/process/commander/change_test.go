package commander_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/commander"
	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/pkg/recorder"
)

// TestRefusalAfterLostResponseLeavesOutcomeUnknown guards against a change that is
// reported as refused although the first daemon made it and its response was lost. The
// operator would then request it again.
func TestRefusalAfterLostResponseLeavesOutcomeUnknown(t *testing.T) {
	for _, c := range []struct {
		name     string
		status   int
		response operator.ErrorResponse
		exitCode int
	}{
		{"Unsafe", http.StatusUnprocessableEntity, operator.ErrorResponse{Failure: operator.FailureUnsafe}, commander.ExitUnknown},
		{"Input", http.StatusBadRequest, operator.ErrorResponse{Failure: operator.FailureInput}, commander.ExitUnknown},
		{"NotAllowed", http.StatusForbidden, operator.ErrorResponse{}, commander.ExitUnknown},
		{"Conflict", http.StatusConflict, operator.ErrorResponse{Failure: operator.FailureConflict, Theirs: &recorder.Change{}}, commander.ExitConflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			lost := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				panic(http.ErrAbortHandler)
			}))
			defer lost.Close()
			refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_ = json.NewEncoder(w).Encode(c.response)
			}))
			defer refusing.Close()
			first, second := lost.Listener.Addr().String(), refusing.Listener.Addr().String()
			is.Equal(commander.Change(context.Background(), first, second), c.exitCode)
		})
	}
}
