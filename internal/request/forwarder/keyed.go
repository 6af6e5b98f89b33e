package forwarder

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/keykeeper"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/internal/version/steerer"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// HeaderKey names the header field that holds an idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderFirstTry states that a key was never sent before. The finder library sets it; a
	// caller that sends a key again must not.
	HeaderFirstTry = "Gullvale-First-Try"
	// HeaderReplayed marks a stored response to an earlier attempt.
	HeaderReplayed = "Gullvale-Replayed"

	// PathOutcome is the path that reports the outcome of a key.
	PathOutcome = "/Outcome"

	keySeparator = "."
	maxKeyBytes  = 200
)

// OutcomeResponse is the response to GET /Outcome?Key=….
type OutcomeResponse struct {
	Key     string
	State   string
	Outcome string `json:",omitempty"`
	Reason  string `json:",omitempty"`
}

// keyIncarnation returns the incarnation named in a key that the finder library made.
func keyIncarnation(key keykeeper.Key) (registrar.Incarnation, bool) {
	name, _, ok := strings.Cut(string(key), keySeparator)
	if !ok || len(name) != registrar.IncarnationDigits {
		return "", false
	}
	_, err := strconv.ParseUint(name, 16, 64)
	return registrar.Incarnation(name), err == nil
}

// home returns the only daemon that may run a key. It reports false if that daemon is no
// longer a member.
func (f *Forwarder) home(s *steerer.Snapshot, key keykeeper.Key) (registrar.Member, bool) {
	i, ok := keyIncarnation(key)
	switch {
	case !ok:
		return s.View.Home(string(key))
	case i == f.Self().Incarnation:
		// The rosters may not have arrived here yet.
		return f.Self(), true
	}
	return s.View.Find(i)
}

// runKeyed runs a call that carries a key at the key's home, which may be this daemon.
func (f *Forwarder) runKeyed(ctx context.Context, c *exchanger.Call, s *resolver.Service, key keykeeper.Key) exchanger.Result {
	if len(key) > maxKeyBytes {
		return exchanger.Refused(exchanger.ReasonBadRequest, 0)
	}
	c.Key = string(key)
	h, ok := f.home(f.Snapshot(), key)
	switch {
	case !ok:
		return homeLost(c)
	case h.Incarnation == f.Self().Incarnation:
		return f.runAtHome(ctx, c, s, key)
	}
	return f.handOver(ctx, c, h)
}

// runLinkedKey runs a call that was handed over because of its key.
func (f *Forwarder) runLinkedKey(ctx context.Context, c *exchanger.Call, s *resolver.Service) exchanger.Result {
	h, ok := f.home(f.Snapshot(), keykeeper.Key(c.Key))
	if !c.KeyHeld && (!ok || h.Incarnation != f.Self().Incarnation) {
		// The sender knows other rosters. Neither daemon may run the call before they agree.
		return exchanger.Lost(exchanger.ReasonKeyHomeLost, "")
	}
	return f.runAtHome(ctx, c, s, keykeeper.Key(c.Key))
}

// homeLost returns the result of a call that was not handed over because the home of its key
// is unreachable. This attempt did not run, but the key may have run there before, unless this
// is its first attempt.
func homeLost(c *exchanger.Call) exchanger.Result {
	if c.FirstAttempt {
		return exchanger.Refused(exchanger.ReasonKeyHomeLost, 0)
	}
	return exchanger.Lost(exchanger.ReasonKeyHomeLost, "")
}

// handOver hands a call over to the daemon that is, or was, the home of its key.
func (f *Forwarder) handOver(ctx context.Context, c *exchanger.Call, h registrar.Member) exchanger.Result {
	p := f.Links.Peer(f.Base, h)
	wait, cancel := context.WithTimeout(ctx, linkTimeout.Duration())
	defer cancel()
	if !p.Await(wait) || !p.Responsive() {
		return homeLost(c)
	}
	r := p.Run(ctx, c, true)
	if r.Outcome == exchanger.NotRun && r.Reason == exchanger.ReasonLinkUnreachable {
		return homeLost(c)
	}
	return r
}

// runAtHome runs a call whose key has its home here, unless the key is already known here or
// at a former home.
func (f *Forwarder) runAtHome(ctx context.Context, c *exchanger.Call, s *resolver.Service, key keykeeper.Key) exchanger.Result {
	r, verdict := f.Keys.Begin(key, keyFingerprint(c))
	switch verdict {
	case keykeeper.Mismatch:
		return exchanger.Refused(exchanger.ReasonKeyReused, 0)
	case keykeeper.Full:
		return exchanger.Refused(exchanger.ReasonKeysFull, timekeeper.Second)
	case keykeeper.Duplicate:
		f.count("keys_repeated", c, "")
		return f.replay(ctx, c, r)
	}
	if result, settled := f.settleAtFormerHome(ctx, c, key); settled {
		f.Keys.End(key, r, result, nil)
		return result
	}
	return f.runNewKey(ctx, c, s, key, r)
}

// keyFingerprint returns a hash that distinguishes the request of a call from others with the
// same key. Of a streamed body only the length is included, since its content is not
// available.
func keyFingerprint(c *exchanger.Call) keykeeper.Fingerprint {
	if c.Body != nil {
		return keykeeper.FingerprintOf(c.Method, c.Target, strconv.AppendInt(nil, c.Length, 10))
	}
	return keykeeper.FingerprintOf(c.Method, c.Target, c.ShortBody)
}

// settleAtFormerHome asks the daemons that may have been the home of a caller's key within the
// time that keys are kept. If one of them holds the key, it settles the call; if one is gone,
// the outcome of the key is unknown.
func (f *Forwarder) settleAtFormerHome(ctx context.Context, c *exchanger.Call, key keykeeper.Key) (exchanger.Result, bool) {
	if _, namesHome := keyIncarnation(key); namesHome || c.KeyHeld {
		return exchanger.Result{}, false
	}
	view := f.Snapshot().View
	now := f.Clock.WallNow()
	for _, i := range view.PossibleHomes(string(key), now-f.Keys.RetentionPeriod(), now) {
		if i == f.Self().Incarnation {
			continue
		}
		m, ok := view.Find(i)
		if !ok {
			return exchanger.Lost(exchanger.ReasonKeyHomeLost, ""), true
		}
		lookup := &exchanger.Call{Head: exchanger.Head{ID: c.ID, Deadline: c.Deadline}, Key: string(key), LookupOnly: true}
		switch r := f.handOver(ctx, lookup, m); r.Reason {
		case exchanger.ReasonKeyUnknown:
			continue
		case exchanger.ReasonNone:
			c.KeyHeld = true
			return f.handOver(ctx, c, m), true
		}
		return exchanger.Lost(exchanger.ReasonKeyHomeLost, ""), true
	}
	return exchanger.Result{}, false
}

// runNewKey runs a call whose key was registered for it. The run continues when the caller
// leaves, so that a retry finds the outcome.
func (f *Forwarder) runNewKey(ctx context.Context, c *exchanger.Call, s *resolver.Service, key keykeeper.Key, r *keykeeper.Record) exchanger.Result {
	// Without a key, a daemon that relays the call does not take itself for the key's home.
	c.Key, c.KeyHeld = "", false
	var rec keykeeper.Recorder
	rec.Attach(c)
	ignoreWriteErrors(c)
	result := exchanger.Result{Outcome: exchanger.Unknown, Reason: exchanger.ReasonLinkLost}
	defer func() { f.Keys.End(key, r, result, rec.Response(result)) }()
	result = f.run(context.WithoutCancel(ctx), c, s)
	return result
}

// ignoreWriteErrors lets the response be read to its end although the caller has left.
func ignoreWriteErrors(c *exchanger.Call) {
	start, write := c.Start, c.Write
	gone := false
	c.Start = func(resp exchanger.Response) error {
		gone = start(resp) != nil
		return nil
	}
	c.Write = func(p []byte) error {
		if !gone {
			gone = write(p) != nil
		}
		return nil
	}
}

// replay gives a duplicate key the response to its first request, once that has ended.
func (f *Forwarder) replay(ctx context.Context, c *exchanger.Call, r *keykeeper.Record) exchanger.Result {
	if c.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, (c.Deadline - f.Clock.Now()).Duration())
		defer cancel()
	}
	result, response, ended := r.Wait(ctx)
	switch {
	case !ended:
		return exchanger.Lost(exchanger.ReasonDeadline, "")
	case result.Outcome != exchanger.Answered:
		return result
	case response == nil:
		return exchanger.Result{Outcome: exchanger.Answered, Reason: exchanger.ReasonResponseNotKept, Upstream: result.Upstream}
	}
	resp := response.Response
	resp.Header = resp.Header.Clone()
	resp.Header.Set(HeaderReplayed, "1")
	if c.Start(resp) != nil {
		return exchanger.Result{Outcome: exchanger.Answered, Reason: exchanger.ReasonCancelled}
	}
	if len(response.Body) > 0 && c.Write(response.Body) != nil {
		return exchanger.Result{Outcome: exchanger.Answered, Reason: exchanger.ReasonCancelled}
	}
	return exchanger.Result{Outcome: exchanger.Answered, Whole: true, Upstream: result.Upstream}
}

// ServeOutcome responds to GET /Outcome?Key=…. It redirects to the key's home if that is
// another daemon.
func (f *Forwarder) ServeOutcome(w http.ResponseWriter, r *http.Request) {
	key := keykeeper.Key(r.URL.Query().Get("Key"))
	o := OutcomeResponse{Key: string(key), State: "absent"}
	s := f.Snapshot()
	if key == "" || s == nil {
		w.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(w).Encode(OutcomeResponse{Reason: "Key is missing"})
		return
	}
	h, ok := f.home(s, key)
	switch {
	case !ok:
		o.Outcome = exchanger.Unknown.String()
		o.Reason = string(exchanger.ReasonKeyHomeLost)
	case h.Incarnation != f.Self().Incarnation:
		http.Redirect(w, r, "http://"+h.Callers+r.URL.RequestURI(), http.StatusTemporaryRedirect)
		return
	default:
		f.fillOutcome(&o, key)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(o)
}

// lookUpLinked responds to another daemon that asks whether a key is held here.
func (f *Forwarder) lookUpLinked(key keykeeper.Key) exchanger.Result {
	state, result := f.Keys.Lookup(key)
	switch state {
	case keykeeper.Running:
		return exchanger.Lost(exchanger.ReasonNone, "")
	case keykeeper.Ended:
		result.Reason = exchanger.ReasonNone
		return result
	}
	return exchanger.Refused(exchanger.ReasonKeyUnknown, 0)
}

func (f *Forwarder) fillOutcome(o *OutcomeResponse, key keykeeper.Key) {
	state, result := f.Keys.Lookup(key)
	switch state {
	case keykeeper.Running:
		o.State = "running"
	case keykeeper.Ended:
		o.State = "ended"
		o.Outcome = result.Outcome.String()
		o.Reason = string(result.Reason)
	}
}
