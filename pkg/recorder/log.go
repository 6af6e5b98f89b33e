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
	changeSegment = "Change/"

	// SnapshotName is the name of the snapshot object without the prefix.
	SnapshotName = "Snapshot"

	// pageSize is the number of changes fetched by one call.
	pageSize = 500

	// numberDigits is the width to which numbers are padded in object names, so
	// that names sort by number.
	numberDigits = 12

	// SnapshotEvery is the number of changes between two snapshots.
	SnapshotEvery Number = 200
)

type (
	// Number is the position of a change in the log, from 1 without gaps.
	Number uint64

	// ChangeID identifies a change before it has a number. Its author chooses it
	// at random and uses it for every attempt.
	ChangeID string

	// Change is a record of the log.
	Change struct {
		Number Number
		ID     ChangeID
		// Who is the author of the change, From its origin, AtMillis its wall time
		// and Why the reason.
		Who      string
		From     string
		AtMillis timekeeper.Millis
		Why      string
		// Undoes is the number of the change that this one reverts.
		Undoes Number
		// Body is the content of the change. Its format is defined by the user of
		// the log.
		Body json.RawMessage
	}

	// Snapshot is the state after the change with the given number.
	Snapshot struct {
		Number Number
		Body   json.RawMessage
	}

	// ConflictError reports an earlier change that conflicts with the new one.
	ConflictError struct {
		Theirs Change
	}

	// Log is a log whose object names share a prefix. Store and Prefix must be
	// set. It holds no state and is safe for concurrent use.
	Log struct {
		Store *storer.Client
		// Prefix ends with "/", such as "Settings/".
		Prefix string
	}
)

// Error implements error.
func (e *ConflictError) Error() string {
	t := e.Theirs
	return fmt.Sprintf("conflicts with change %d by %s at %s", t.Number, t.Who, t.AtMillis.Time().Format("15:04:05"))
}

// ChangePrefix returns the name prefix of change objects.
func (l *Log) ChangePrefix() string {
	return l.Prefix + changeSegment
}

// Name returns the name of the change object with number n.
func (l *Log) Name(n Number) string {
	return l.ChangePrefix() + pad(n)
}

// NumberOf returns the number in the name of a change object, and whether name is
// such a name.
func (l *Log) NumberOf(name string) (Number, bool) {
	s, ok := strings.CutPrefix(name, l.ChangePrefix())
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(s, 10, 64)
	return Number(n), err == nil
}

// Decode decodes a change object.
func (l *Log) Decode(o storer.Object) (Change, error) {
	var c Change
	if err := json.Unmarshal(o.Body, &c); err != nil {
		return c, eris.Wrapf(err, "decode change object %s", o.Name)
	}
	n, ok := l.NumberOf(o.Name)
	if !ok || n != c.Number {
		return c, eris.Errorf("change object %s holds number %d", o.Name, c.Number)
	}
	return c, nil
}

// Read returns the changes with numbers above after, in order.
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
				return all, eris.Errorf("log %s: change %d follows change %d", l.Prefix, c.Number, after)
			}
			all = append(all, c)
			after = c.Number
		}
		if len(b.Objects) < pageSize {
			return all, nil
		}
	}
}

// Append commits c under the first free number after base. It calls rebase for each
// change already committed there, to check whether c is still valid after it, and
// returns the error of rebase if it is not. A committed change with the same ID is
// c itself, from an earlier attempt.
//
// The error is storer.ErrUnknown if ctx is done while the result is still unknown.
func (l *Log) Append(ctx context.Context, c Change, base Number, rebase func(theirs Change) error) (Change, error) {
	return l.AppendIn(ctx, l.Store.Era(), c, base, rebase)
}

// AppendIn is Append, but fails with storer.ErrUnreachable if the store is in another era. The log of
// a later era may lack changes until Restore has written them again.
func (l *Log) AppendIn(ctx context.Context, e storer.Era, c Change, base Number, rebase func(theirs Change) error) (Change, error) {
	c.Number = base + 1
	for {
		done, theirs, err := l.commit(ctx, e, c)
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

// Restore writes committed changes again, under their numbers, that the store may lack in an era
// since it has returned from an older copy. The changes are consecutive and in order. It returns
// the number of changes that it wrote, and a ConflictError if the log holds another change under
// one of the numbers.
func (l *Log) Restore(ctx context.Context, e storer.Era, changes []Change) (int, error) {
	written := 0
	for _, c := range changes {
		done, theirs, err := l.commit(ctx, e, c)
		if err != nil {
			return written, err
		}
		if !done && theirs.ID != c.ID {
			return written, eris.Wrapf(&ConflictError{Theirs: theirs}, "restore change %d of %s", c.Number, l.Prefix)
		}
		if done {
			written++
		}
	}
	return written, nil
}

// commit creates the object of c in an era and retries while the result is unknown. A retry
// cannot commit c twice, since both attempts create an object of the same name. If
// another change has the number, commit returns false and that change.
func (l *Log) commit(ctx context.Context, e storer.Era, c Change) (bool, Change, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return false, c, eris.Wrap(err, "encode change")
	}
	var mayExist bool
	theirs, err := backoff.Retry(ctx, func() (*Change, error) {
		_, err := l.Store.CreateIn(ctx, e, l.Name(c.Number), body)
		var another *storer.EraError
		switch {
		case err == nil:
			return nil, nil
		case errors.As(err, &another):
			mayExist = mayExist || errors.Is(err, storer.ErrUnknown)
			return nil, backoff.Permanent(err)
		case errors.Is(err, storer.ErrConflict):
			return l.readChange(ctx, c.Number)
		case errors.Is(err, storer.ErrUnknown):
			mayExist = true
			return nil, err
		case errors.Is(err, storer.ErrUnreachable):
			return nil, err
		}
		return nil, backoff.Permanent(err)
	}, backoff.WithMaxElapsedTime(0))
	if err != nil {
		return false, c, l.finalError(mayExist, err)
	}
	if theirs == nil {
		return true, c, nil
	}
	return false, *theirs, nil
}

// finalError returns the error of a failed commit. It is storer.ErrUnknown if any
// attempt may have taken effect, whatever the error of the last one.
func (l *Log) finalError(mayExist bool, err error) error {
	if mayExist {
		return eris.Wrapf(storer.ErrUnknown, "%v", err)
	}
	var another *storer.EraError
	if errors.As(err, &another) {
		return eris.Wrapf(storer.ErrUnreachable, "%v", err)
	}
	if errors.Is(err, storer.ErrRefused) {
		return err
	}
	return eris.Wrapf(storer.ErrUnreachable, "%v", err)
}

func (l *Log) readChange(ctx context.Context, n Number) (*Change, error) {
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

// LoadSnapshot returns the latest snapshot, or the zero Snapshot if there is none.
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

// DecodeSnapshot decodes a snapshot object.
func DecodeSnapshot(o storer.Object) (Snapshot, error) {
	var s Snapshot
	if err := json.Unmarshal(o.Body, &s); err != nil {
		return Snapshot{}, eris.Wrapf(err, "decode snapshot object %s", o.Name)
	}
	return s, nil
}

// SaveSnapshot stores s unless the stored snapshot is as new or newer.
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
