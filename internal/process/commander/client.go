package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/internal/version/parser"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// The environment of the command line. Each goes before the file.
const (
	EnvFile      = "GULLVALE_FILE"
	EnvOperators = "GULLVALE_OPERATORS"
	EnvToken     = "GULLVALE_TOKEN"
)

// The exit codes.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitInput       = 2
	ExitConflict    = 3
	ExitUnknown     = 4
	ExitUnreachable = 5
)

const (
	defaultFile = ".config/gullvale/operator.toml"

	// callTimeout is how long a daemon has to begin its answer to a call that it has
	// received whole.
	callTimeout = 5 * timekeeper.Second

	// longestUpload bounds a call with its body and answer: a table of 390,000 blocks, 10
	// MB, takes 8 s at 10 Mbit/s, and ten times that from a phone on a bad day.
	longestUpload = 90 * timekeeper.Second

	// settleTime is how long a change whose answer was lost is asked for
	// again.
	settleTime = 15 * time.Second
	settlePace = 300 * time.Millisecond
)

type (
	// client calls the operators' listener of whichever daemon answers.
	client struct {
		addresses []string
		token     string
	}

	// failure is a command that did not succeed, with its exit code.
	failure struct {
		code int
		text string
	}

	// lostError is a call whose answer was lost after it may have arrived.
	lostError struct{ err error }

	// dialError is a call that reached nobody.
	dialError struct{ err error }

	// downError is a call whose daemon did not reach the platform.
	downError struct{ text string }
)

func (f failure) Error() string   { return f.text }
func (e lostError) Error() string { return e.err.Error() }
func (e dialError) Error() string { return e.err.Error() }
func (e downError) Error() string { return e.text }

// newClient reads addresses and token from the environment and the file.
func newClient() (*client, error) {
	c := &client{}
	if err := c.readFile(); err != nil {
		return nil, err
	}
	if v := os.Getenv(EnvOperators); v != "" {
		c.addresses = strings.FieldsFunc(v, func(r rune) bool { return r == ',' || r == ' ' })
	}
	if v := os.Getenv(EnvToken); v != "" {
		c.token = v
	}
	if len(c.addresses) == 0 {
		return nil, failure{ExitInput, fmt.Sprintf("no daemon to ask: set Operators in %s, or %s", file(), EnvOperators)}
	}
	for _, a := range c.addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, failure{ExitInput, fmt.Sprintf("Operators: %q is not an IP number with a port", a)}
		}
	}
	return c, nil
}

func file() string {
	if v := os.Getenv(EnvFile); v != "" {
		return v
	}
	home, err := os.UserHomeDir()
	if err != nil {
		return defaultFile
	}
	return filepath.Join(home, defaultFile)
}

func (c *client) readFile() error {
	name := file()
	data, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) && os.Getenv(EnvFile) == "" {
		return nil
	}
	if err != nil {
		return failure{ExitInput, err.Error()}
	}
	entries, problems := parser.Parse(name, data)
	for _, e := range entries {
		switch {
		case e.Name() == "Operators" && e.Kind == parser.KindList:
			c.addresses = e.List
		case e.Name() == "Token" && e.Kind == parser.KindText:
			c.token = e.Text
		default:
			problems = append(problems, parser.Problem{
				Position: e.Position,
				Path:     e.Name(),
				Text:     `unknown; the file holds Operators = ["ip:port", ...] and Token = "..."`,
			})
		}
	}
	if len(problems) > 0 {
		return failure{ExitInput, problems.Error()}
	}
	return nil
}

// get reads from the first daemon that answers.
func (c *client) get(ctx context.Context, path string, answer any) error {
	return c.each(func(address string) error {
		return c.call(ctx, http.MethodGet, address, path, nil, answer)
	})
}

// change asks for a change until its outcome is known. All tries carry the same
// id, so however many daemons accept it, it is made once.
func (c *client) change(ctx context.Context, q operator.ChangeRequest) (operator.ChangeAnswer, error) {
	q.ID = operator.NewChangeID()
	body, err := json.Marshal(q)
	if err != nil {
		return operator.ChangeAnswer{}, err
	}
	var a operator.ChangeAnswer
	var lost bool
	end := time.Now().Add(settleTime)
	for {
		err := c.each(func(address string) error {
			err := c.call(ctx, http.MethodPost, address, operator.PathChange, body, &a)
			var l lostError
			lost = lost || errors.As(err, &l)
			return err
		})
		if !lost || !open(err) || time.Now().After(end) {
			return a, c.ended(err, lost, q)
		}
		time.Sleep(settlePace)
	}
}

// ended says what an error means for a change of which a try may have arrived. Another
// daemon's refusal says nothing of that try, except a conflict: the daemon that made it has
// read the log up to the change that stands in the way.
func (c *client) ended(err error, lost bool, q operator.ChangeRequest) error {
	var f failure
	if err == nil || !lost || errors.As(err, &f) && f.code == ExitConflict {
		return err
	}
	return failure{ExitUnknown, fmt.Sprintf(
		"outcome unknown: the answer was lost (%v)\nlook for change id %s in `gullvale settings log`", err, q.ID)}
}

// open tells whether an error leaves the outcome of an earlier try open.
func open(err error) bool {
	var l lostError
	var d dialError
	var p downError
	return errors.As(err, &l) || errors.As(err, &d) || errors.As(err, &p)
}

// each tries the daemons in turn while they cannot be reached or lose answers.
func (c *client) each(call func(address string) error) error {
	var err error
	for _, a := range c.addresses {
		err = call(a)
		var l lostError
		var d dialError
		if !errors.As(err, &d) && !errors.As(err, &l) {
			return err
		}
	}
	return err
}

func (c *client) call(ctx context.Context, method, address, path string, body []byte, answer any) error {
	daemon := &storer.Client{Address: "http://" + address, Token: c.token, LongestTransfer: longestUpload}
	q, err := daemon.Request(ctx, method, path, body)
	if err != nil {
		return failure{ExitInput, err.Error()}
	}
	p, data, err := daemon.Call(q, callTimeout)
	var dial *storer.DialError
	switch {
	case errors.As(err, &dial):
		return dialError{err}
	case p == nil:
		return lostError{err}
	case p.StatusCode == http.StatusOK:
		return json.Unmarshal(data, answer)
	}
	return explain(p.StatusCode, data)
}

// explain turns the answer to a call that failed into an error.
func explain(status int, data []byte) error {
	var e operator.ErrorAnswer
	if err := json.Unmarshal(data, &e); err != nil || e.Failure == "" {
		code := ExitFailed
		if status < http.StatusInternalServerError {
			code = ExitInput
		}
		return failure{code, fmt.Sprintf("status %d: %s", status, bytes.TrimSpace(data))}
	}
	switch e.Failure {
	case operator.FailureConflict:
		return failure{ExitConflict, conflictText(e)}
	case operator.FailureUnsafe:
		return failure{ExitInput, "refused, add --force to do it all the same:\n" + e.Problems.Error()}
	case operator.FailureUnknown:
		return lostError{errors.New(e.Text)}
	case operator.FailureUnreachable:
		return downError{"not done: " + e.Text}
	}
	if len(e.Problems) > 0 {
		return failure{ExitInput, e.Problems.Error()}
	}
	return failure{ExitInput, e.Text}
}

func conflictText(e operator.ErrorAnswer) string {
	t := e.Theirs
	if t == nil {
		return "not done: " + e.Text
	}
	text := fmt.Sprintf("not done: %s was faster with change %d at %s", t.Who, t.Number, t.AtMillis.Time().Local().Format("15:04:05"))
	if t.Why != "" {
		text += " (" + t.Why + ")"
	}
	for _, line := range editLines(t.Body) {
		text += "\n  " + line
	}
	return text
}

// codeOf returns the exit code for an error.
func codeOf(err error) int {
	var f failure
	var d dialError
	var l lostError
	var p downError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &f):
		return f.code
	case errors.As(err, &d), errors.As(err, &p):
		return ExitUnreachable
	case errors.As(err, &l):
		return ExitUnknown
	}
	return ExitInput
}
