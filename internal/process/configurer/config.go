package configurer

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/connection/encrypter"
	"github.com/gullvale/gullvale/internal/version/parser"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// EnvPlatformToken is the environment variable that overrides Platform.Token, so that
// the settings file need not hold a secret.
const EnvPlatformToken = "GULLVALE_PLATFORM_TOKEN"

// Roles of operators. Each role includes the permissions of those before it.
const (
	RoleNone Role = iota
	RoleView
	RoleSteer
	RoleAdminister
)

const (
	hashBytes  = 32
	tokenParts = 2
)

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,39}$`)
	roleNames   = map[string]Role{"view": RoleView, "steer": RoleSteer, "administer": RoleAdminister}

	settings = []setting{
		{"Name", parser.KindText, true, func(c *Config, e parser.Entry) error { return setName(&c.Name, e.Text) }},
		{"Region", parser.KindText, true, func(c *Config, e parser.Entry) error { return setName(&c.Region, e.Text) }},
		{"Domain", parser.KindText, true, func(c *Config, e parser.Entry) error { return setName(&c.Domain, e.Text) }},
		{"Callers", parser.KindText, true, func(c *Config, e parser.Entry) error { return setAddress(&c.Callers, e.Text) }},
		{"Links", parser.KindText, true, func(c *Config, e parser.Entry) error { return setAddress(&c.Links, e.Text) }},
		{"Operators", parser.KindText, true, func(c *Config, e parser.Entry) error { return setAddress(&c.Operators, e.Text) }},
		{"Advertise.Callers", parser.KindText, false, func(c *Config, e parser.Entry) error { return setAddress(&c.AdvertiseCallers, e.Text) }},
		{"Advertise.Links", parser.KindText, false, func(c *Config, e parser.Entry) error { return setAddress(&c.AdvertiseLinks, e.Text) }},
		{"Seeds", parser.KindList, false, func(c *Config, e parser.Entry) error { return setSeeds(c, e.List) }},
		{"Platform.Address", parser.KindText, true, func(c *Config, e parser.Entry) error { return setPlatform(c, e.Text) }},
		{"Platform.Token", parser.KindText, false, func(c *Config, e parser.Entry) error { c.PlatformToken = e.Text; return nil }},
		{"LogLevel", parser.KindText, false, func(c *Config, e parser.Entry) error { return setLogLevel(c, e.Text) }},
		{"StopMillis", parser.KindNumber, false, func(c *Config, e parser.Entry) error { return setMillis(&c.StopMillis, e.Text) }},
		{"LinkTLS.Certificate", parser.KindText, false, func(c *Config, e parser.Entry) error { c.LinkTLS.Certificate = e.Text; return nil }},
		{"LinkTLS.Key", parser.KindText, false, func(c *Config, e parser.Entry) error { c.LinkTLS.Key = e.Text; return nil }},
		{"LinkTLS.Authority", parser.KindText, false, func(c *Config, e parser.Entry) error { c.LinkTLS.Authority = e.Text; return nil }},
		{"MostInFlight", parser.KindNumber, false, func(c *Config, e parser.Entry) error { return setCount(&c.MostInFlight, e.Text) }},
	}
)

type (
	// Role determines what an operator is allowed to do.
	Role uint8

	// Token is an operator's token, stored as its SHA-256 hash.
	Token struct {
		Who  string
		Role Role
		Hash [hashBytes]byte
	}

	// Config holds the settings of one daemon.
	Config struct {
		Name      string
		Region    string
		Domain    string
		Callers   string
		Links     string
		Operators string
		// AdvertiseCallers and AdvertiseLinks are the addresses advertised to
		// callers and other daemons; empty means the listening address.
		AdvertiseCallers string
		AdvertiseLinks   string
		Seeds            []string
		PlatformAddress  string
		PlatformToken    string
		LogLevel         logrus.Level
		// StopMillis bounds how long a stop may take, including the wait for
		// requests in flight; 0 means no bound.
		StopMillis timekeeper.Millis
		// MostInFlight is the maximum number of requests in flight in this daemon;
		// 0 means the forwarder's default.
		MostInFlight int64
		// LinkTLS is empty if links are not encrypted.
		LinkTLS encrypter.Files
		Tokens  []Token
	}

	// setting describes a setting of the file and how it is stored in a Config.
	setting struct {
		name     string
		kind     parser.Kind
		required bool
		set      func(*Config, parser.Entry) error
	}
)

// Site returns the daemon's site: its region and failure domain.
func (c Config) Site() registrar.Site {
	return registrar.Site(c.Region + "/" + c.Domain)
}

// ReadFile reads and checks a settings file. It reports all problems at once.
func ReadFile(path string) (Config, parser.Problems) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, parser.Problems{{Text: err.Error()}}
	}
	return Read(path, data)
}

// Read reads and checks the text of a settings file.
func Read(file string, data []byte) (Config, parser.Problems) {
	c := Config{LogLevel: logrus.InfoLevel}
	entries, problems := parser.Parse(file, data)
	if len(problems) > 0 {
		return c, problems
	}
	seen := map[string]bool{}
	for _, e := range entries {
		if err := c.applyEntry(e); err != nil {
			problems = append(problems, parser.Problem{Position: e.Position, Path: e.Name(), Text: err.Error()})
		}
		seen[e.Name()] = true
	}
	for _, f := range settings {
		if f.required && !seen[f.name] {
			problems = append(problems, parser.Problem{Position: parser.Position{File: file}, Path: f.name, Text: "is missing"})
		}
	}
	if p, ok := c.checkLinkTLS(file, seen); !ok {
		problems = append(problems, p...)
	}
	if t := os.Getenv(EnvPlatformToken); t != "" {
		c.PlatformToken = t
	}
	return c, problems
}

// checkLinkTLS checks that either all or none of the TLS files of links are set, and
// that they can be loaded.
func (c *Config) checkLinkTLS(file string, seen map[string]bool) (parser.Problems, bool) {
	var missing parser.Problems
	names := []string{"LinkTLS.Certificate", "LinkTLS.Key", "LinkTLS.Authority"}
	for _, n := range names {
		if !seen[n] {
			missing = append(missing, parser.Problem{Position: parser.Position{File: file}, Path: n, Text: "is required because other LinkTLS files are set"})
		}
	}
	switch len(missing) {
	case len(names):
		return nil, true
	case 0:
		e := encrypter.Encrypter{Files: c.LinkTLS}
		if err := e.Load(); err != nil {
			return parser.Problems{{Position: parser.Position{File: file}, Path: "LinkTLS", Text: err.Error()}}, false
		}
		return nil, true
	}
	return missing, false
}

func (c *Config) applyEntry(e parser.Entry) error {
	if len(e.Path) == tokenParts && e.Path[0] == "Tokens" {
		return c.addToken(e)
	}
	i := slices.IndexFunc(settings, func(f setting) bool { return f.name == e.Name() })
	if i < 0 {
		return fmt.Errorf("unknown setting%s", suggestion(e.Name()))
	}
	if settings[i].kind != e.Kind {
		return fmt.Errorf("has a value of the wrong type")
	}
	return settings[i].set(c, e)
}

// suggestion returns a hint at the setting that was probably meant, or "".
func suggestion(name string) string {
	for _, f := range settings {
		if strings.EqualFold(f.name, name) || strings.EqualFold(f.name, strings.TrimSuffix(name, "s")) {
			return fmt.Sprintf("; did you mean %s?", f.name)
		}
	}
	return ""
}

// addToken adds the token of an entry such as `anna = "steer <hash>"`.
func (c *Config) addToken(e parser.Entry) error {
	role, hash, _ := strings.Cut(e.Text, " ")
	t := Token{Who: e.Path[1], Role: roleNames[role]}
	if t.Role == RoleNone {
		return fmt.Errorf("%q is not one of view, steer, administer", role)
	}
	raw, err := hex.DecodeString(strings.TrimSpace(hash))
	if err != nil || len(raw) != hashBytes {
		return fmt.Errorf("must be a role and the SHA-256 hash of the token in hex, as printed by `gullvale token`")
	}
	copy(t.Hash[:], raw)
	c.Tokens = append(c.Tokens, t)
	return nil
}

func setName(dst *string, text string) error {
	if !namePattern.MatchString(text) {
		return fmt.Errorf("%q is not a name (a-z, 0-9 and '-', at most 40)", text)
	}
	*dst = text
	return nil
}

func setAddress(dst *string, text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Errorf("%q is not an IP number with a port", text)
	}
	*dst = text
	return nil
}

func setSeeds(c *Config, list []string) error {
	for _, a := range list {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("%q is not an IP number with a port", a)
		}
	}
	c.Seeds = list
	return nil
}

func setPlatform(c *Config, text string) error {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return fmt.Errorf("%q is not a URL such as http://10.0.0.5:7000", text)
	}
	c.PlatformAddress = strings.TrimSuffix(text, "/")
	return nil
}

func setLogLevel(c *Config, text string) error {
	l, err := logrus.ParseLevel(text)
	if err != nil {
		return fmt.Errorf("%q is not one of error, warn, info, debug", text)
	}
	c.LogLevel = l
	return nil
}

func setCount(dst *int64, text string) error {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return fmt.Errorf("%q is not a number of requests", text)
	}
	*dst = n
	return nil
}

func setMillis(dst *timekeeper.Millis, text string) error {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return fmt.Errorf("%q is not a time in milliseconds", text)
	}
	*dst = timekeeper.Millis(n)
	return nil
}
