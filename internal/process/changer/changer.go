package changer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/internal/version/applier"
	"github.com/gullvale/gullvale/internal/version/parser"
	"github.com/gullvale/gullvale/internal/version/planner"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

type (
	// Changer accepts changes of settings. Set the exported fields before use.
	Changer struct {
		Clock   timekeeper.Clock
		Log     *recorder.Log
		Applier *applier.Applier
		// CheckOverload predicts the use of sites under a tree and lists what the tree
		// would overload. Nil means no check.
		CheckOverload func(resolver.Tree) ([]planner.Use, parser.Problems)
		// RestoredEra returns the era in which the log is known to hold all accepted changes
		// again. It fails while that is not known of the era of the store.
		RestoredEra func(context.Context) (storer.Era, error)
		// OnRead is called with each change that was accepted or read from the log. Nil means
		// no callback.
		OnRead func(recorder.Change)
		// OnAdvance is called when the number in force on this daemon increases. Nil
		// means no callback.
		OnAdvance func()

		lock sync.Mutex
		// pending counts the changes that are being recorded in each era.
		pending map[storer.Era]int
	}

	// Request is a change requested by an operator.
	Request struct {
		ID   recorder.ChangeID
		Who  string
		From string
		Why  string
		// Base is the settings number that the operator last saw, 0 for the newest.
		Base  recorder.Number
		Edits []resolver.Edit
		// Undo is the number of the change to undo, in which case Edits is empty; 0
		// means none.
		Undo   recorder.Number
		DryRun bool
		// Force accepts the change even if it would overload something.
		Force bool
	}

	// Result describes an accepted change or the result of a dry run.
	Result struct {
		Change recorder.Change
		Edits  []resolver.Edit
		// Warnings lists what the change would overload.
		Warnings parser.Problems
		DryRun   bool
		// Predicted is the predicted use of sites after the change.
		Predicted []planner.Use
	}

	// OverloadError reports a change refused because it would overload something.
	OverloadError struct {
		Problems parser.Problems
	}
)

// ErrNoChange reports a change that would leave the settings as they are.
var ErrNoChange = eris.New("the settings are already so")

// Error lists what the change would overload.
func (e *OverloadError) Error() string {
	return e.Problems.Error()
}

// Change checks and records a change. It returns parser.Problems, OverloadError,
// recorder.ConflictError, ErrNoChange, or an error of the store if it did not.
func (c *Changer) Change(ctx context.Context, r Request) (Result, error) {
	era, err := c.restoredEra(ctx)
	if err != nil {
		return Result{}, err
	}
	if err := c.catchUp(ctx); err != nil {
		return Result{}, err
	}
	existing, err := c.checkEarlier(&r)
	if err != nil || existing != nil {
		return c.result(r, existing), err
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
	recorded, err := c.record(ctx, era, change, head, func(other recorder.Change) error {
		return c.rebase(r, other)
	})
	if err != nil {
		return Result{}, err
	}
	c.saveSnapshot(ctx, recorded.Number)
	result.Change = recorded
	return result, nil
}

func (c *Changer) restoredEra(ctx context.Context) (storer.Era, error) {
	if c.RestoredEra == nil {
		return c.Log.Store.Era(), nil
	}
	return c.RestoredEra(ctx)
}

// record appends a change to the log in an era, and applies it.
func (c *Changer) record(ctx context.Context, e storer.Era, x recorder.Change, head recorder.Number, rebase func(recorder.Change) error) (recorder.Change, error) {
	c.addPending(e, 1)
	defer c.addPending(e, -1)
	recorded, err := c.Log.AppendIn(ctx, e, x, head, rebase)
	if err == nil {
		c.apply(recorded)
	}
	return recorded, err
}

func (c *Changer) addPending(e storer.Era, n int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.pending == nil {
		c.pending = map[storer.Era]int{}
	}
	c.pending[e] += n
	if c.pending[e] == 0 {
		delete(c.pending, e)
	}
}

// LatestEra returns the latest era of the store of which no former one has a change in progress
// here: all changes of settings that this daemon accepted in former eras are applied.
func (c *Changer) LatestEra() storer.Era {
	e := c.Log.Store.Era()
	c.lock.Lock()
	defer c.lock.Unlock()
	for p := range c.pending {
		e = min(e, p)
	}
	return e
}

// catchUp applies all changes that the platform has and this daemon does not.
func (c *Changer) catchUp(ctx context.Context) error {
	_, n := c.Applier.State()
	changes, err := c.Log.Read(ctx, n)
	for _, x := range changes {
		c.apply(x)
	}
	return err
}

func (c *Changer) apply(x recorder.Change) {
	if c.OnRead != nil {
		c.OnRead(x)
	}
	if c.Applier.Add(x) && c.OnAdvance != nil {
		c.OnAdvance()
	}
}

// checkEarlier checks a request against the changes already recorded. It returns the
// change with the same id, or a ConflictError if a change after the request's base
// conflicts with it.
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

func (c *Changer) result(r Request, existing *recorder.Change) Result {
	if existing == nil {
		return Result{}
	}
	return Result{Change: *existing, Edits: r.Edits}
}

func conflict(edits []resolver.Edit, other recorder.Change) error {
	content, err := applier.ContentOf(other)
	if err != nil {
		return err
	}
	if resolver.Conflict(edits, content.Edits) {
		return &recorder.ConflictError{Theirs: other}
	}
	return nil
}

// undoEdits returns the edits that undo a change. A later change of the same settings is
// a conflict unless the request is forced.
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
		if r.Edits != nil && !r.Force && resolver.Conflict(r.Edits, content.Edits) {
			return nil, &recorder.ConflictError{Theirs: x}
		}
	}
	if r.Edits == nil {
		return nil, parser.Problems{{Path: fmt.Sprintf("change %d", r.Undo), Text: "is not among the changes kept"}}
	}
	return r.Edits, nil
}

// prepare checks a request against a tree and returns the change to record.
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

// rebase checks whether a change is still valid after a concurrent one that was recorded
// first.
func (c *Changer) rebase(r Request, other recorder.Change) error {
	if err := conflict(r.Edits, other); err != nil {
		return err
	}
	c.apply(other)
	tree, _ := c.Applier.State()
	_, _, err := c.prepare(tree, r)
	return err
}

// saveSnapshot stores a snapshot every recorder.SnapshotEvery changes. It ignores
// errors: without the snapshot readers only have more changes to read.
func (c *Changer) saveSnapshot(ctx context.Context, n recorder.Number) {
	if n%recorder.SnapshotEvery != 0 {
		return
	}
	if s, err := c.Applier.Snapshot(); err == nil {
		_ = c.Log.SaveSnapshot(ctx, s)
	}
}
