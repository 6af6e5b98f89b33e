package relayer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// Patience bounds all that a member fetches from a lead before it reads the store. A
	// change must be in force 3 s after it was accepted, and 1 MB from the store takes
	// 0.84 s at 10 Mbit/s.
	Patience = 1000 * timekeeper.Millis(1)

	// firstByte is how long an answer may take to begin, with the dial, and silence how long
	// nothing may come of it then: many round trips within a region, and a lead that 70
	// members ask at once. It is what a lead costs a member that is frozen or cut off.
	firstByte = 300 * timekeeper.Millis(1)
	silence   = 300 * timekeeper.Millis(1)

	// maxAnswer bounds an answer: many times what the largest object is once packed (a
	// configuration of 1 MB is 60 KB then), and little beside a VM's 184 MB.
	maxAnswer = 8 * storer.MaxObjectBytes
)

var (
	// ErrNoLead tells that no other member leads the region.
	ErrNoLead = eris.New("no lead to fetch changes from")

	// ErrOther tells that the lead answered something else than was asked for.
	ErrOther = eris.New("the lead answered with other changes")
)

// transport opens a connection for each fetch: large changes are rare, and an idle connection
// may be cut without a sign.
var transport = &http.Transport{
	DialContext:        (&net.Dialer{}).DialContext,
	DisableKeepAlives:  true,
	DisableCompression: true,
}

// Fetch returns changes of a kind that follow a revision from a member that leads, in order.
// There may be more: ask again for what follows them.
func Fetch(ctx context.Context, address, kind string, from uint64) ([]heartbeater.Changes, error) {
	if address == "" {
		return nil, ErrNoLead
	}
	c := &storer.Client{
		Address:        "http://" + address,
		Silence:        silence,
		MaxAnswerBytes: maxAnswer,
		Do:             (&http.Client{Transport: transport}).Do,
	}
	v := url.Values{kindField: {kind}, fromField: {strconv.FormatUint(from, 10)}}
	q, err := c.Request(ctx, http.MethodGet, Path+"?"+v.Encode(), nil)
	if err != nil {
		return nil, err
	}
	_, body, err := c.Call(q, firstByte)
	if err != nil {
		return nil, err
	}
	all, err := heartbeater.ReadChanges(bytes.NewReader(body), maxAnswer)
	if err != nil {
		return nil, eris.Wrapf(ErrOther, "%s after %d: %v", kind, from, err)
	}
	if !follow(all, kind, from) {
		return nil, eris.Wrapf(ErrOther, "%s after %d", kind, from)
	}
	return all, nil
}

// Outcome names how a fetch ended, for counters.
func Outcome(err error) string {
	switch {
	case errors.Is(err, ErrNoLead):
		return "no lead"
	case errors.Is(err, ErrOther):
		return "other"
	}
	return storer.Outcome(err)
}

// follow tells whether changes are of a kind, follow a revision without a gap, and go beyond
// it.
func follow(all []heartbeater.Changes, kind string, from uint64) bool {
	upTo := from
	for _, c := range all {
		if c.Kind != kind || c.Omitted || c.From > upTo || c.To <= upTo {
			return false
		}
		upTo = c.To
	}
	return upTo > from
}
