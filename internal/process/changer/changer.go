package changer

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/internal/version/applier"
	"github.com/gullvale/gullvale/internal/version/parser"
	"github.com/gullvale/gullvale/internal/version/planner"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

type (
	// Changer accepts changes. Set the exported fields before use.
	Changer struct {
		Clock   timekeeper.Clock
		Log     *recorder.Log
		Applier *applier.Applier
		// CheckOverload predicts the use of sites under a tree and says what it would
		// overload. Nil means no check.
		CheckOverload func(resolver.Tree) ([]planner.Use, parser.Problems)
		// OnAdvance is told when the number in force here went up.
		OnAdvance func()
	}

	// Request is a change that an operator asks for.
	Request struct {
		ID   recorder.ChangeID
		Who  string
		From string
		Why  string
		// Base is the number that the operator had seen, 0 for the newest.
		Base  recorder.Number
		Edits []resolver.Edit
		// Undo names the change to take back; Edits is empty then.
		Undo   recorder.Number
		DryRun bool
		// Force accepts a change that the guard objects to.
		Force bool
	}

	// Result is an accepted change, or what a dry run would have done.
	Result struct {
		Change recorder.Change
		Edits  []resolver.Edit
		// Warnings is what the guard objects to.
		Warnings parser.Problems
		DryRun   bool
		// Predicted is the use of sites that a dry run foresees.
		Predicted []planner.Use
	}

	// OverloadError is a change that the guard refused.
	OverloadError struct {
		Problems parser.Problems
	}
)

// ErrNoChange reports a change that changes nothing.
var ErrNoChange = eris.New("the settings are already so")

// Error lists what the change would overload.
func (e *OverloadError) Error() string {
	return e.Problems.Error()
}

// Change records a change, or says why not: parser.Problems, OverloadError,
// recorder.ConflictError, ErrNoChange, or the store's errors.
func (c *Changer) Change(ctx context.Context, r Request) (Result, error) {
	if err := c.catchUp(ctx); err != nil {
		return Result{}, err
	}
	done, err := c.checkEarlier(&r)
	if err != nil || done != nil {
		return c.result(r, done), err
	}
	tree, head := c.Applier.State()
	if r.Undo > 0 {
		if r.Edits, err = c.undoEdits(r); err != nil {
			return Result{}, err
		}
	}
	change, result, err := c.prepare(tree, r)
	if err != nil || r.DryRun {
		return result, err
	}
	made, err := c.Log.Append(ctx, change, head, func(theirs recorder.Change) error {
		return c.rebase(r, theirs)
	})
	if err != nil {
		return Result{}, err
	}
	c.apply(made)
	c.saveSnapshot(ctx, made.Number)
	result.Change = made
	return result, nil
}

// catchUp brings the settings here to the newest that the platform shows.
func (c *Changer) catchUp(ctx context.Context) error {
	_, n := c.Applier.State()
	changes, err := c.Log.Read(ctx, n)
	for _, x := range changes {
		c.apply(x)
	}
	return err
}

func (c *Changer) apply(x recorder.Change) {
	if c.Applier.Add(x) && c.OnAdvance != nil {
		c.OnAdvance()
	}
}

// checkEarlier looks at the changes since the operator looked: one may be this very
// change, and one may stand in its way.
func (c *Changer) checkEarlier(r *Request) (*recorder.Change, error) {
	base := r.Base
	for _, x := range c.Applier.History(0) {
		if x.ID == r.ID {
			return &x, nil
		}
	}
	if base == 0 {
		return nil, nil
	}
	for _, x := range c.Applier.History(base) {
		if err := conflict(r.Edits, x); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

func (c *Changer) result(r Request, done *recorder.Change) Result {
	if done == nil {
		return Result{}
	}
	return Result{Change: *done, Edits: r.Edits}
}

func conflict(edits []resolver.Edit, theirs recorder.Change) error {
	content, err := applier.ContentOf(theirs)
	if err != nil {
		return err
	}
	if resolver.Clash(edits, content.Edits) {
		return &recorder.ConflictError{Theirs: theirs}
	}
	return nil
}

// undoEdits returns the edits that take a change back. A later change of the same
// settings stands in the way.
func (c *Changer) undoEdits(r Request) ([]resolver.Edit, error) {
	for _, x := range c.Applier.History(r.Undo - 1) {
		content, err := applier.ContentOf(x)
		if err != nil {
			return nil, err
		}
		if x.Number == r.Undo {
			r.Edits = content.Inverse
			continue
		}
		if r.Edits != nil && !r.Force && resolver.Clash(r.Edits, content.Edits) {
			return nil, &recorder.ConflictError{Theirs: x}
		}
	}
	if r.Edits == nil {
		return nil, parser.Problems{{Path: fmt.Sprintf("change %d", r.Undo), Text: "is not among the changes kept"}}
	}
	return r.Edits, nil
}

// prepare checks a change against a tree.
func (c *Changer) prepare(tree resolver.Tree, r Request) (recorder.Change, Result, error) {
	result := Result{Edits: r.Edits, DryRun: r.DryRun}
	change := recorder.Change{
		ID:       r.ID,
		Who:      r.Who,
		From:     r.From,
		AtMillis: c.Clock.WallNow(),
		Why:      r.Why,
		Undoes:   r.Undo,
	}
	next, problems := tree.Apply(r.Edits)
	if len(problems) > 0 {
		return change, result, problems
	}
	if len(tree.Difference(next)) == 0 {
		return change, result, ErrNoChange
	}
	body, err := json.Marshal(applier.Content{Edits: r.Edits, Inverse: tree.Inverse(r.Edits)})
	if err != nil {
		return change, result, eris.Wrap(err, "encode change")
	}
	change.Body = body
	if c.CheckOverload != nil {
		result.Predicted, result.Warnings = c.CheckOverload(next)
	}
	if len(result.Warnings) > 0 && !r.Force && !r.DryRun {
		return change, result, &OverloadError{Problems: result.Warnings}
	}
	return change, result, nil
}

// rebase asks whether the change still holds behind one that was faster.
func (c *Changer) rebase(r Request, theirs recorder.Change) error {
	if err := conflict(r.Edits, theirs); err != nil {
		return err
	}
	c.apply(theirs)
	tree, _ := c.Applier.State()
	_, _, err := c.prepare(tree, r)
	return err
}

// saveSnapshot stores the state now and then. A failure costs readers time only.
func (c *Changer) saveSnapshot(ctx context.Context, n recorder.Number) {
	if n%recorder.SnapshotEvery != 0 {
		return
	}
	if s, err := c.Applier.Snapshot(); err == nil {
		_ = c.Log.SaveSnapshot(ctx, s)
	}
}
