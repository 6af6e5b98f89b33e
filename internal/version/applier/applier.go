package applier

import (
	"encoding/json"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/recorder"
)

type (
	// Applier holds the tree of settings and the number of the last change applied to
	// it. The zero value is the empty tree at number 0. It is safe for concurrent use.
	Applier struct {
		lock     sync.Mutex
		tree     resolver.Tree
		number   recorder.Number
		waiting  map[recorder.Number]recorder.Change
		history  []recorder.Change
		rejected uint64
		// diverged holds the numbers of changes that differ from those applied.
		diverged map[recorder.Number]bool
	}

	// Content is the body of a change of settings.
	Content struct {
		Edits []resolver.Edit
		// Inverse undoes Edits.
		Inverse []resolver.Edit
	}
)

// historyLength is the maximum number of changes kept for resolving concurrent writes
// and for undo.
const historyLength = 1000

// ContentOf decodes the body of a change.
func ContentOf(c recorder.Change) (Content, error) {
	var content Content
	err := json.Unmarshal(c.Body, &content)
	return content, eris.Wrapf(err, "change %d", c.Number)
}

// Restore replaces the state with a snapshot, unless the state is at least as recent as
// the snapshot.
func (a *Applier) Restore(s recorder.Snapshot) error {
	if s.Number == 0 {
		return nil
	}
	var edits []resolver.Edit
	if err := json.Unmarshal(s.Body, &edits); err != nil {
		return eris.Wrapf(err, "snapshot %d", s.Number)
	}
	// Problems are ignored: the tree was checked when its changes were accepted.
	tree, _ := resolver.Tree{}.Apply(edits)
	a.lock.Lock()
	defer a.lock.Unlock()
	if s.Number <= a.number {
		return nil
	}
	a.tree = tree
	a.number = s.Number
	a.applyWaiting()
	return nil
}

// Add applies a change, or keeps it until all changes before it have been added. It
// reports whether the number increased.
func (a *Applier) Add(c recorder.Change) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	before := a.number
	if c.Number <= a.number {
		a.checkApplied(c)
		return false
	}
	if a.waiting == nil {
		a.waiting = map[recorder.Number]recorder.Change{}
	}
	a.waiting[c.Number] = c
	a.applyWaiting()
	return a.number > before
}

// checkApplied compares a change with the one that was applied under its number, as far back as
// changes are kept.
func (a *Applier) checkApplied(c recorder.Change) {
	for _, x := range a.history {
		if x.Number != c.Number || x.ID == c.ID {
			continue
		}
		if a.diverged == nil {
			a.diverged = map[recorder.Number]bool{}
		}
		a.diverged[c.Number] = true
	}
}

// Diverged returns how many changes differ from those that were applied under their numbers: an
// accepted change was lost with the store's older copy, and its number was given again.
func (a *Applier) Diverged() int {
	a.lock.Lock()
	defer a.lock.Unlock()
	return len(a.diverged)
}

func (a *Applier) applyWaiting() {
	for n := range a.waiting {
		if n <= a.number {
			delete(a.waiting, n)
		}
	}
	for {
		c, ok := a.waiting[a.number+1]
		if !ok {
			return
		}
		delete(a.waiting, c.Number)
		a.apply(c)
	}
}

// apply never fails: every daemon must apply an accepted change. Edits that this version
// of the software does not understand are left out, and counted in rejected.
func (a *Applier) apply(c recorder.Change) {
	content, err := ContentOf(c)
	if err != nil {
		a.rejected++
	}
	next, problems := a.tree.Apply(content.Edits)
	a.rejected += uint64(len(problems))
	a.tree = next
	a.number = c.Number
	a.history = append(a.history, c)
	if len(a.history) > historyLength {
		a.history = append([]recorder.Change(nil), a.history[len(a.history)-historyLength/2:]...)
	}
}

// State returns the tree in force and its number.
func (a *Applier) State() (resolver.Tree, recorder.Number) {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.tree, a.number
}

// Rejected returns the number of problems found while applying accepted changes.
func (a *Applier) Rejected() uint64 {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.rejected
}

// History returns the changes after a number, as far back as they are kept.
func (a *Applier) History(after recorder.Number) []recorder.Change {
	a.lock.Lock()
	defer a.lock.Unlock()
	var out []recorder.Change
	for _, c := range a.history {
		if c.Number > after {
			out = append(out, c)
		}
	}
	return out
}

// Snapshot returns the state as a snapshot.
func (a *Applier) Snapshot() (recorder.Snapshot, error) {
	t, n := a.State()
	body, err := json.Marshal(t.EditsBelow(resolver.Path{}))
	return recorder.Snapshot{Number: n, Body: body}, err
}
