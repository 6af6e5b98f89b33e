package operator

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/zeromicro/go-zero/rest"

	"github.com/gullvale/gullvale/internal/connection/router"
	"github.com/gullvale/gullvale/internal/process/changer"
	"github.com/gullvale/gullvale/internal/process/configurer"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/internal/version/applier"
	"github.com/gullvale/gullvale/internal/version/locator"
	"github.com/gullvale/gullvale/internal/version/parser"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/storer"
)

const (
	maxRequestBytes = 64 << 20
	changeIDBytes   = 9
)

type (
	// Server handles the requests of operators. Set the exported fields before use.
	Server struct {
		Tokens  []configurer.Token
		Store   *storer.Client
		Log     *recorder.Log
		Applier *applier.Applier
		Changer *changer.Changer
		// Status returns the status of the fleet.
		Status func(context.Context) Status
		// Outlook computes headroom and losses.
		Outlook func(context.Context) (Outlook, error)
		// InForce counts the daemons on which the settings with a number are in
		// force.
		InForce func(context.Context, recorder.Number) (InForceResponse, error)
		// Healthy reports whether the daemon accepts new requests and, if not, why.
		Healthy func() (bool, string)
		// Quarantine tracks requests that crash upstreams.
		Quarantine *quarantiner.Quarantiner
		Metrics    http.Handler
		// Lookup serves lookups to operators.
		Lookup http.Handler
	}

	// identity is the operator who makes a call. The role is RoleNone if the token is
	// missing or unknown.
	identity struct {
		name string
		role configurer.Role
		from string
	}

	handler func(context.Context, identity, *http.Request) (any, error)

	// inputError reports invalid input in a call.
	inputError struct{ text string }
)

func (e inputError) Error() string { return e.text }

// Handler returns the handler of all routes.
func (s *Server) Handler() (http.Handler, error) {
	view := configurer.RoleView
	steer := configurer.RoleSteer
	return router.New(router.Options{
		Name: "operators",
		Routes: []rest.Route{
			s.route(http.MethodGet, PathSettings, view, s.settings),
			s.route(http.MethodGet, PathTOML, view, s.toml),
			s.route(http.MethodGet, PathLog, view, s.log),
			s.route(http.MethodGet, PathInForce, view, s.inForce),
			s.route(http.MethodGet, PathStatus, view, s.status),
			s.route(http.MethodGet, PathOutlook, view, s.outlook),
			s.route(http.MethodGet, quarantiner.PathList, view, s.listQuarantine),
			s.route(http.MethodPost, quarantiner.PathLift, steer, s.liftQuarantine),
			s.route(http.MethodPost, PathChange, steer, s.change),
			s.route(http.MethodPost, PathBlocks, configurer.RoleAdminister, s.storeBlocks),
			{Method: http.MethodGet, Path: PathPage, Handler: servePage},
			{Method: http.MethodGet, Path: PathLookup, Handler: s.Lookup.ServeHTTP},
			{Method: http.MethodGet, Path: PathMetrics, Handler: s.Metrics.ServeHTTP},
			{Method: http.MethodGet, Path: PathHealth, Handler: s.health},
		},
	})
}

func (s *Server) route(method, path string, required configurer.Role, h handler) rest.Route {
	return rest.Route{Method: method, Path: path, Handler: func(w http.ResponseWriter, r *http.Request) {
		o := s.identify(r)
		if o.role < required {
			writeJSON(w, http.StatusForbidden, ErrorResponse{Failure: FailureForbidden, Text: s.denialText(o, required)})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		response, err := h(r.Context(), o, r)
		if err != nil {
			status, e := errorResponse(err)
			writeJSON(w, status, e)
			return
		}
		writeJSON(w, http.StatusOK, response)
	}}
}

// identify returns the operator whose token hash matches. It compares all tokens, so
// that the time taken reveals nothing about them.
func (s *Server) identify(r *http.Request) identity {
	out := identity{}
	out.from, _, _ = net.SplitHostPort(r.RemoteAddr)
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return out
	}
	hash := sha256.Sum256([]byte(token))
	for _, t := range s.Tokens {
		if subtle.ConstantTimeCompare(hash[:], t.Hash[:]) == 1 {
			out.name = t.Who
			out.role = t.Role
		}
	}
	return out
}

func (s *Server) denialText(o identity, required configurer.Role) string {
	switch {
	case len(s.Tokens) == 0:
		return "this daemon has no tokens in its settings"
	case o.role == configurer.RoleNone:
		return "the token is missing or unknown"
	case required == configurer.RoleAdminister:
		return o.name + " may not do this; it takes the role administer"
	}
	return o.name + " may not do this; it takes the role steer"
}

func (s *Server) settings(_ context.Context, _ identity, r *http.Request) (any, error) {
	p, err := resolver.ParsePath(r.URL.Query().Get("Path"))
	if err != nil {
		return nil, inputError{err.Error()}
	}
	t, n := s.Applier.State()
	below := t.EditsBelow(p)
	below = slices.DeleteFunc(below, func(e resolver.Edit) bool { return e.Path == p.String() })
	return SettingsResponse{Number: n, Path: p.String(), Values: t.Explain(p), Beneath: below}, nil
}

func (s *Server) toml(context.Context, identity, *http.Request) (any, error) {
	t, n := s.Applier.State()
	return TOMLResponse{Number: n, Text: t.TOML()}, nil
}

func (s *Server) log(ctx context.Context, _ identity, r *http.Request) (any, error) {
	after, err := queryNumber(r, "After")
	if err != nil {
		return nil, err
	}
	changes, err := s.Log.Read(ctx, after)
	if err != nil {
		// During an outage of the platform, return the changes retained locally.
		changes = s.Applier.History(after)
	}
	return LogResponse{Changes: changes}, nil
}

func (s *Server) inForce(ctx context.Context, _ identity, r *http.Request) (any, error) {
	n, err := queryNumber(r, "Number")
	if err != nil {
		return nil, err
	}
	return s.InForce(ctx, n)
}

func (s *Server) status(ctx context.Context, _ identity, _ *http.Request) (any, error) {
	return s.Status(ctx), nil
}

func (s *Server) outlook(ctx context.Context, _ identity, _ *http.Request) (any, error) {
	return s.Outlook(ctx)
}

func (s *Server) listQuarantine(context.Context, identity, *http.Request) (any, error) {
	return s.Quarantine.List(), nil
}

func (s *Server) liftQuarantine(_ context.Context, _ identity, r *http.Request) (any, error) {
	l, err := s.Quarantine.Lift(r.URL.Query().Get(quarantiner.FieldFingerprint))
	if err != nil {
		return nil, inputError{err.Error()}
	}
	return l, nil
}

func (s *Server) change(ctx context.Context, o identity, r *http.Request) (any, error) {
	var q ChangeRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		return nil, inputError{"body: " + err.Error()}
	}
	edits, err := s.edits(q)
	if err != nil {
		return nil, err
	}
	if q.ID == "" {
		q.ID = NewChangeID()
	}
	result, err := s.Changer.Change(ctx, changer.Request{
		ID:     q.ID,
		Who:    o.name,
		From:   o.from,
		Why:    q.Why,
		Base:   q.Base,
		Edits:  edits,
		Undo:   q.Undo,
		DryRun: q.DryRun,
		Force:  q.Force,
	})
	if err != nil {
		return nil, err
	}
	return ChangeResponse{
		Number:    result.Change.Number,
		Edits:     result.Edits,
		Warnings:  result.Warnings,
		DryRun:    result.DryRun,
		Predicted: result.Predicted,
	}, nil
}

// edits returns the requested edits. For a whole tree these are its difference from the
// tree in force.
func (s *Server) edits(q ChangeRequest) ([]resolver.Edit, error) {
	if q.TOML == "" {
		return q.Edits, nil
	}
	edits, problems := resolver.ReadTOML(q.File, []byte(q.TOML))
	next, more := resolver.Tree{}.Apply(edits)
	if problems = append(problems, more...); len(problems) > 0 {
		return nil, problems
	}
	now, _ := s.Applier.State()
	return now.Difference(next), nil
}

// storeBlocks stores a table of client blocks under a new name.
func (s *Server) storeBlocks(ctx context.Context, _ identity, r *http.Request) (any, error) {
	name := r.URL.Query().Get("Name")
	if name == "" || strings.ContainsAny(name, "/ ") {
		return nil, inputError{"Name is missing or has a blank or slash in it"}
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, inputError{"body: " + err.Error()}
	}
	table, err := locator.Read(strings.NewReader(string(text)))
	if err != nil {
		return nil, inputError{err.Error()}
	}
	if table.Len() == 0 {
		return nil, inputError{"the table has no blocks"}
	}
	if _, err := locator.Save(ctx, s.Store, name, strings.NewReader(string(text))); err != nil {
		return nil, err
	}
	return BlocksResponse{Name: name, Blocks: table.Len()}, nil
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.Healthy()
	if !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func queryNumber(r *http.Request, name string) (recorder.Number, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, inputError{name + ": " + strconv.Quote(text) + " is not a number"}
	}
	return recorder.Number(n), nil
}

// errorResponse returns the HTTP status and response for an error.
func errorResponse(err error) (int, ErrorResponse) {
	var problems parser.Problems
	var unsafe *changer.OverloadError
	var conflict *recorder.ConflictError
	var input inputError
	e := ErrorResponse{Text: err.Error()}
	switch {
	case errors.As(err, &conflict):
		e.Failure = FailureConflict
		e.Theirs = &conflict.Theirs
		return http.StatusConflict, e
	case errors.As(err, &unsafe):
		e.Failure = FailureUnsafe
		e.Problems = unsafe.Problems
		return http.StatusUnprocessableEntity, e
	case errors.As(err, &problems):
		e.Failure = FailureInput
		e.Problems = problems
		return http.StatusBadRequest, e
	case errors.As(err, &input), errors.Is(err, changer.ErrNoChange), errors.Is(err, storer.ErrConflict):
		e.Failure = FailureInput
		return http.StatusBadRequest, e
	case errors.Is(err, storer.ErrUnknown):
		e.Failure = FailureUnknown
		return http.StatusGatewayTimeout, e
	}
	e.Failure = FailureUnreachable
	return http.StatusServiceUnavailable, e
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// NewChangeID returns a new random, unique change id.
func NewChangeID() recorder.ChangeID {
	b := make([]byte, changeIDBytes)
	_, _ = rand.Read(b)
	return recorder.ChangeID(hex.EncodeToString(b))
}

// HashToken returns the SHA-256 hash of a token in hex, the form used in settings files.
func HashToken(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}
