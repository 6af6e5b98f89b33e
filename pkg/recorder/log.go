package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	changePart = "Change/"

	// SnapshotName is the name of the snapshot object behind the prefix.
	SnapshotName = "Snapshot"

	// pageSize is how many changes one call fetches.
	pageSize = 500

	// numberDigits keeps names in the order of numbers.
	numberDigits = 12

	// SnapshotEvery is how many changes pass between two snapshots.
	SnapshotEvery Number = 200
)

type (
	// Number is the place of a change in the log, from 1 without gaps.
	Number uint64

	// ChangeID names a change before it has a number. Its author picks it at
	// random and repeats it in every try.
	ChangeID string

	// Change is one record of the log.
	Change struct {
		Number Number
		ID     ChangeID
		// Who made the change, From where, at what wall time, and Why.
		Who      string
		From     string
		AtMillis timekeeper.Millis
		Why      string
		// Undoes is the number of the change that this one takes back.
		Undoes Number
		// Body is what the change does, in the owner's own format.
		Body json.RawMessage
	}

	// Snapshot is the state after the change with its number.
	Snapshot struct {
		Number Number
		Body   json.RawMessage
	}

	// ConflictError says which earlier change stands in the way.
	ConflictError struct {
		Theirs Change
	}

	// Log is a log under one prefix of names. Store and Prefix must be set.
	// It holds no state and is safe for concurrent use.
	Log struct {
		Store *storer.Client
		// Prefix ends with "/", such as "Settings/".
		Prefix string
	}
)

// Error tells who made the change that came first, when, and its number.
func (e *ConflictError) Error() string {
	t := e.Theirs
	return fmt.Sprintf("change %d by %s at %s came first", t.Number, t.Who, t.AtMillis.Time().Format("15:04:05"))
}

// ChangePrefix is what the names of the change objects start with.
func (l *Log) ChangePrefix() string {
	return l.Prefix + changePart
}

// Name returns the name of the change object with number n.
func (l *Log) Name(n Number) string {
	return l.ChangePrefix() + pad(n)
}

// NumberOf returns the number in the name of a change object.
func (l *Log) NumberOf(name string) (Number, bool) {
	s, ok := strings.CutPrefix(name, l.ChangePrefix())
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(s, 10, 64)
	return Number(n), err == nil
}

// Decode reads a change object.
func (l *Log) Decode(o storer.Object) (Change, error) {
	var c Change
	if err := json.Unmarshal(o.Body, &c); err != nil {
		return c, eris.Wrapf(err, "change object %s", o.Name)
	}
	n, ok := l.NumberOf(o.Name)
	if !ok || n != c.Number {
		return c, eris.Errorf("change object %s holds number %d", o.Name, c.Number)
	}
	return c, nil
}

// Read returns the changes behind after in order.
func (l *Log) Read(ctx context.Context, after Number) ([]Change, error) {
	var all []Change
	for {
		b, err := l.Store.List(ctx, l.ChangePrefix(), l.Name(after), pageSize)
		if err != nil {
			return all, err
		}
		for _, o := range b.Objects {
			c, err := l.Decode(o)
			if err != nil {
				return all, err
			}
			if c.Number != after+1 {
				return all, eris.Errorf("log %s: change %d follows %d", l.Prefix, c.Number, after)
			}
			all = append(all, c)
			after = c.Number
		}
		if len(b.Objects) < pageSize {
			return all, nil
		}
	}
}

// Append commits c as the first number behind base for which no other change
// stands in the way. For each change found there rebase is asked whether c
// still holds behind it; its error ends the try. A change with the same id
// found there is c itself, committed by an earlier try.
//
// The error is storer.ErrUnknown when ctx ended before the truth was known.
func (l *Log) Append(ctx context.Context, c Change, base Number, rebase func(theirs Change) error) (Change, error) {
	c.Number = base + 1
	for {
		done, theirs, err := l.try(ctx, c)
		if err != nil {
			return c, err
		}
		if done {
			return c, nil
		}
		if theirs.ID == c.ID {
			return theirs, nil
		}
		if err := rebase(theirs); err != nil {
			return c, err
		}
		c.Number++
	}
}

// try creates the object of c, and repeats while the outcome is unknown. A
// repeat cannot commit twice: both tries create the same name.
func (l *Log) try(ctx context.Context, c Change) (bool, Change, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return false, c, eris.Wrap(err, "encode change")
	}
	var maybe bool
	theirs, err := backoff.Retry(ctx, func() (*Change, error) {
		_, err := l.Store.Create(ctx, l.Name(c.Number), body)
		switch {
		case err == nil:
			return nil, nil
		case errors.Is(err, storer.ErrConflict):
			return l.get(ctx, c.Number)
		case errors.Is(err, storer.ErrUnknown):
			maybe = true
			return nil, err
		case errors.Is(err, storer.ErrUnreachable):
			return nil, err
		}
		return nil, backoff.Permanent(err)
	}, backoff.WithMaxElapsedTime(0))
	if err != nil {
		return false, c, l.finalError(maybe, err)
	}
	if theirs == nil {
		return true, c, nil
	}
	return false, *theirs, nil
}

// finalError keeps "unknown" when any try may have taken effect, whatever the
// last one said.
func (l *Log) finalError(maybe bool, err error) error {
	if maybe {
		return eris.Wrapf(storer.ErrUnknown, "%v", err)
	}
	if errors.Is(err, storer.ErrRefused) {
		return err
	}
	return eris.Wrapf(storer.ErrUnreachable, "%v", err)
}

func (l *Log) get(ctx context.Context, n Number) (*Change, error) {
	o, err := l.Store.Get(ctx, l.Name(n))
	if err != nil {
		return nil, err
	}
	c, err := l.Decode(o)
	if err != nil {
		return nil, backoff.Permanent(err)
	}
	return &c, nil
}

// LoadSnapshot returns the newest snapshot, or number 0 when there is none.
func (l *Log) LoadSnapshot(ctx context.Context) (Snapshot, error) {
	o, err := l.Store.Get(ctx, l.Prefix+SnapshotName)
	if errors.Is(err, storer.ErrNotFound) {
		return Snapshot{}, nil
	}
	if err != nil {
		return Snapshot{}, err
	}
	return DecodeSnapshot(o)
}

// DecodeSnapshot reads a snapshot object.
func DecodeSnapshot(o storer.Object) (Snapshot, error) {
	var s Snapshot
	if err := json.Unmarshal(o.Body, &s); err != nil {
		return Snapshot{}, eris.Wrapf(err, "snapshot object %s", o.Name)
	}
	return s, nil
}

// SaveSnapshot stores s unless a newer one is there.
func (l *Log) SaveSnapshot(ctx context.Context, s Snapshot) error {
	body, err := json.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode snapshot")
	}
	name := l.Prefix + SnapshotName
	o, err := l.Store.Get(ctx, name)
	if errors.Is(err, storer.ErrNotFound) {
		_, err = l.Store.Create(ctx, name, body)
		return err
	}
	if err != nil {
		return err
	}
	old, err := DecodeSnapshot(o)
	if err != nil {
		return err
	}
	if old.Number >= s.Number {
		return nil
	}
	_, err = l.Store.Update(ctx, name, body, o.Revision)
	return err
}

func pad(n Number) string {
	return fmt.Sprintf("%0*d", numberDigits, uint64(n))
}
