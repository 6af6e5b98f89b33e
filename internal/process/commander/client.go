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

// The environment variables of the command line. EnvOperators and EnvToken override the
// configuration file, whose path is EnvFile.
const (
	EnvFile      = "GULLVALE_FILE"
	EnvOperators = "GULLVALE_OPERATORS"
	EnvToken     = "GULLVALE_TOKEN"
)

// The exit codes of the command line.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitInput       = 2
	ExitConflict    = 3
	ExitUnknown     = 4
	ExitUnreachable = 5
)

const (
	defaultConfigFile = ".config/gullvale/operator.toml"

	// responseTimeout is how long a daemon may take to begin its response after it has
	// received the complete request.
	responseTimeout = 5 * timekeeper.Second

	// maxTransferTime bounds the transfer of a call's body and response. A table of 390,000
	// blocks, 10 MB, takes 8 s at 10 Mbit/s and ten times that over a poor mobile
	// connection.
	maxTransferTime = 90 * timekeeper.Second

	// outcomeTimeout is how long a change whose response was lost is retried, every
	// outcomeInterval.
	outcomeTimeout  = 15 * time.Second
	outcomeInterval = 300 * time.Millisecond
)

type (
	// client calls the operators' listener of the first daemon that responds.
	client struct {
		addresses []string
		token     string
	}

	// commandError is the error of a failed command with its exit code.
	commandError struct {
		code int
		text string
	}

	// responseLostError is the error of a call that may have been received but whose
	// response was lost.
	responseLostError struct{ err error }

	// dialError is the error of a call that reached no daemon.
	dialError struct{ err error }

	// platformError is the error of a call whose daemon could not reach the platform.
	platformError struct{ text string }
)

func (f commandError) Error() string      { return f.text }
func (e responseLostError) Error() string { return e.err.Error() }
func (e dialError) Error() string         { return e.err.Error() }
func (e platformError) Error() string     { return e.text }

// newClient returns a client with the addresses and the token from the environment or the
// configuration file.
func newClient() (*client, error) {
	c := &client{}
	if err := c.loadConfig(); err != nil {
		return nil, err
	}
	if v := os.Getenv(EnvOperators); v != "" {
		c.addresses = strings.FieldsFunc(v, func(r rune) bool { return r == ',' || r == ' ' })
	}
	if v := os.Getenv(EnvToken); v != "" {
		c.token = v
	}
	if len(c.addresses) == 0 {
		return nil, commandError{ExitInput, fmt.Sprintf("no daemon to ask: set Operators in %s, or %s", configFile(), EnvOperators)}
	}
	for _, a := range c.addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, commandError{ExitInput, fmt.Sprintf("Operators: %q is not an IP number with a port", a)}
		}
	}
	return c, nil
}

func configFile() string {
	if v := os.Getenv(EnvFile); v != "" {
		return v
	}
	home, err := os.UserHomeDir()
	if err != nil {
		return defaultConfigFile
	}
	return filepath.Join(home, defaultConfigFile)
}

func (c *client) loadConfig() error {
	name := configFile()
	data, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) && os.Getenv(EnvFile) == "" {
		return nil
	}
	if err != nil {
		return commandError{ExitInput, err.Error()}
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
				Text:     `unknown; the file may set Operators = ["ip:port", ...] and Token = "..."`,
			})
		}
	}
	if len(problems) > 0 {
		return commandError{ExitInput, problems.Error()}
	}
	return nil
}

// get reads path from the first daemon that responds.
func (c *client) get(ctx context.Context, path string, response any) error {
	return c.tryDaemons(func(address string) error {
		return c.call(ctx, http.MethodGet, address, path, nil, response)
	})
}

// change requests a change and retries until its outcome is known. All attempts carry the
// same id, so that the change is made at most once, even if several daemons accept it.
func (c *client) change(ctx context.Context, q operator.ChangeRequest) (operator.ChangeResponse, error) {
	q.ID = operator.NewChangeID()
	body, err := json.Marshal(q)
	if err != nil {
		return operator.ChangeResponse{}, err
	}
	var a operator.ChangeResponse
	var lost bool
	end := time.Now().Add(outcomeTimeout)
	for {
		err := c.tryDaemons(func(address string) error {
			err := c.call(ctx, http.MethodPost, address, operator.PathChange, body, &a)
			var l responseLostError
			lost = lost || errors.As(err, &l)
			return err
		})
		if !lost || !isUnresolved(err) || time.Now().After(end) {
			return a, c.changeError(err, lost, q)
		}
		time.Sleep(outcomeInterval)
	}
}

// changeError returns the error of a change whose last attempt ended with err. If the
// response to an attempt was lost, the outcome is unknown: another daemon's refusal says
// nothing about that attempt. A conflict is the exception, since the daemon that reports it
// has read the log up to the conflicting change.
func (c *client) changeError(err error, lost bool, q operator.ChangeRequest) error {
	var f commandError
	if err == nil || !lost || errors.As(err, &f) && f.code == ExitConflict {
		return err
	}
	return commandError{ExitUnknown, fmt.Sprintf(
		"outcome unknown: the response was lost (%v)\nlook for change id %s in `gullvale settings log`", err, q.ID)}
}

// isUnresolved reports whether an error leaves the outcome of an earlier attempt unknown.
func isUnresolved(err error) bool {
	var l responseLostError
	var d dialError
	var p platformError
	return errors.As(err, &l) || errors.As(err, &d) || errors.As(err, &p)
}

// tryDaemons calls the daemons in turn until one can be reached and its response is not
// lost.
func (c *client) tryDaemons(call func(address string) error) error {
	var err error
	for _, a := range c.addresses {
		err = call(a)
		var l responseLostError
		var d dialError
		if !errors.As(err, &d) && !errors.As(err, &l) {
			return err
		}
	}
	return err
}

func (c *client) call(ctx context.Context, method, address, path string, body []byte, response any) error {
	daemon := &storer.Client{Address: "http://" + address, Token: c.token, MaxTransferTime: maxTransferTime}
	q, err := daemon.Request(ctx, method, path, body)
	if err != nil {
		return commandError{ExitInput, err.Error()}
	}
	p, data, err := daemon.Call(q, responseTimeout)
	var dial *storer.DialError
	switch {
	case errors.As(err, &dial):
		return dialError{err}
	case p == nil:
		return responseLostError{err}
	case p.StatusCode == http.StatusOK:
		return json.Unmarshal(data, response)
	}
	return responseError(p.StatusCode, data)
}

// responseError converts the response to a failed call to an error.
func responseError(status int, data []byte) error {
	var e operator.ErrorResponse
	if err := json.Unmarshal(data, &e); err != nil || e.Failure == "" {
		code := ExitFailed
		if status < http.StatusInternalServerError {
			code = ExitInput
		}
		return commandError{code, fmt.Sprintf("status %d: %s", status, bytes.TrimSpace(data))}
	}
	switch e.Failure {
	case operator.FailureConflict:
		return commandError{ExitConflict, conflictText(e)}
	case operator.FailureUnsafe:
		return commandError{ExitInput, "refused, use --force to override:\n" + e.Problems.Error()}
	case operator.FailureUnknown:
		return responseLostError{errors.New(e.Text)}
	case operator.FailureUnreachable:
		return platformError{"not done: " + e.Text}
	}
	if len(e.Problems) > 0 {
		return commandError{ExitInput, e.Problems.Error()}
	}
	return commandError{ExitInput, e.Text}
}

func conflictText(e operator.ErrorResponse) string {
	t := e.Theirs
	if t == nil {
		return "not done: " + e.Text
	}
	text := fmt.Sprintf("not done: %s was faster with change %d at %s", t.Who, t.Number, t.AtMillis.Time().Local().Format("15:04:05"))
	if t.Why != "" {
		text += " (" + t.Why + ")"
	}
	for _, line := range formatChange(t.Body) {
		text += "\n  " + line
	}
	return text
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var f commandError
	var d dialError
	var l responseLostError
	var p platformError
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
