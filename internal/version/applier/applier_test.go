package applier_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/version/applier"
	"github.com/gullvale/gullvale/pkg/recorder"
)

// TestOtherChangeUnderAnAppliedNumberIsCounted guards against a daemon that silently runs other
// settings than the log holds, because its change lost the number.
func TestOtherChangeUnderAnAppliedNumberIsCounted(t *testing.T) {
	is := is.New(t)
	var a applier.Applier
	change := func(n recorder.Number, id recorder.ChangeID) recorder.Change {
		return recorder.Change{Number: n, ID: id, Body: json.RawMessage("{}")}
	}
	is.True(a.Add(change(1, "first")))
	is.True(a.Add(change(2, "lost")))
	is.True(!a.Add(change(1, "first")))
	is.Equal(a.Diverged(), 0)
	for range 2 {
		is.True(!a.Add(change(2, "other")))
	}
	is.Equal(a.Diverged(), 1)
	is.True(a.Add(change(3, "third")))
}
