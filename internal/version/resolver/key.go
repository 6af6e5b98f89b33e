package resolver

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gullvale/gullvale/internal/version/parser"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Keys of the settings in the tree.
const (
	KeyUpstreams         Key = "Upstreams"
	KeySlots             Key = "Slots"
	KeyClass             Key = "Class"
	KeyLimit             Key = "Limit"
	KeyDeadline          Key = "DeadlineMillis"
	KeyMaxBody           Key = "MaxBodyBytes"
	KeyExportRate        Key = "ExportBytesPerSecond"
	KeyQueueLength       Key = "QueueLength"
	KeyLookupLifetime    Key = "LookupLifetimeMillis"
	KeyEntries           Key = "Entries"
	KeyHosts             Key = "Hosts"
	KeyIdempotentMethods Key = "IdempotentMethods"
	KeyRefusalHeader     Key = "RefusalHeader"
	KeyDrainHeader       Key = "DrainHeader"
	KeyProbePath         Key = "ProbePath"
	KeyProbeInterval     Key = "ProbeIntervalMillis"
	KeyRetryBudget       Key = "RetryBudget"
	KeyDrain             Key = "Drain"
	KeyDrainUntil        Key = "DrainUntil"
	KeyMoveCap           Key = "MoveCap"
	KeyShiftTo           Key = "ShiftTo"
	KeyShiftShare        Key = "ShiftShare"
	KeyShiftCap          Key = "ShiftCap"
	KeyBlockTable        Key = "BlockTable"
	KeyKeyRetention      Key = "KeyRetentionMillis"
)

const (
	levelRoot level = 1 << iota
	levelRegion
	levelDomain
	levelService
	levelRegionService
	levelDomainService

	allLevels   = levelRoot | levelRegion | levelDomain | levelService | levelRegionService | levelDomainService
	placeLevels = levelRoot | levelRegion | levelDomain
)

const (
	formCount form = iota
	formBool
	formText
	formPercent
	formRate
	formTime
	formAddresses
	formWords
	formClass
)

// shiftPrefix is the common prefix of the keys that define one shift. Changes to any two
// of these keys conflict.
const shiftPrefix = "Shift"

var levelNames = []struct {
	level level
	name  string
}{
	{levelRoot, "the root"},
	{levelRegion, "a region"},
	{levelDomain, "a failure domain"},
	{levelService, "a service"},
	{levelRegionService, "a service in a region"},
	{levelDomainService, "a service in a failure domain"},
}

// definitions lists every setting of the tree in display order.
var definitions = []Definition{
	{Key: KeyUpstreams, form: formAddresses, levels: levelDomainService, Help: "addresses of the servers of the service at the site"},
	{Key: KeySlots, form: formCount, levels: allLevels, Default: "4", min: 1, max: 100000, Help: "requests that one upstream serves concurrently"},
	{Key: KeyClass, form: formClass, levels: allLevels, Default: Value(ClassShort), Help: "short (responses of a few KB) or export (long streams)"},
	{Key: KeyLimit, form: formPercent, levels: allLevels, Default: "85%", max: 100, Help: "fraction of the slots that the plan may fill"},
	{Key: KeyDeadline, form: formCount, levels: allLevels, Default: "10000", max: 24 * 3600 * 1000, Help: "deadline of a request whose caller sets none; 0 means no limit"},
	{Key: KeyMaxBody, form: formCount, levels: allLevels, Default: "16777216", max: 1 << 40, Help: "maximum size of a request body in bytes"},
	{Key: KeyExportRate, form: formCount, levels: allLevels, Default: "0", max: 1 << 40, Help: "bytes per second that exports of a region may send to another region; 0 means no limit"},
	{Key: KeyQueueLength, form: formCount, levels: allLevels, Default: "64", max: 100000, Help: "requests that may wait at one owner; further ones are refused"},
	{Key: KeyLookupLifetime, form: formCount, levels: allLevels, Default: "2000", min: 100, max: 3600 * 1000, Help: "how long callers cache a lookup response"},
	{Key: KeyEntries, form: formCount, levels: allLevels, Default: "3", min: 1, max: 16, Help: "number of entries in a lookup response"},
	{Key: KeyHosts, form: formWords, levels: levelService, Help: "values of the Host header that select the service"},
	{Key: KeyIdempotentMethods, form: formWords, levels: allLevels, Default: "GET,HEAD,OPTIONS", Help: "methods whose requests may run more than once"},
	{Key: KeyRefusalHeader, form: formText, levels: allLevels, Default: "X-Not-Run", Help: "header by which an upstream reports that it did not run a request"},
	{Key: KeyDrainHeader, form: formText, levels: allLevels, Default: "X-Draining", Help: "header by which an upstream reports that it is leaving"},
	{Key: KeyProbePath, form: formText, levels: allLevels, Default: "/health", Help: "path that the owner of an upstream probes"},
	{Key: KeyProbeInterval, form: formCount, levels: allLevels, Default: "2000", min: 100, max: 3600 * 1000, Help: "interval between probes of an upstream"},
	{Key: KeyRetryBudget, form: formPercent, levels: allLevels, Default: "10%", max: 100, Help: "retries allowed, as a percentage of first attempts"},
	{Key: KeyDrain, form: formBool, levels: allLevels, Default: "false", Help: "move all traffic away; true at a higher level takes precedence"},
	{Key: KeyDrainUntil, form: formTime, levels: allLevels, Help: "when the drain at the same level expires"},
	{Key: KeyMoveCap, form: formRate, levels: allLevels, Default: "600%/min", max: 60000, Help: "maximum rate at which traffic moves when no shift caps it"},
	{Key: KeyShiftTo, form: formText, levels: levelRegionService, Help: "region that receives part of the traffic of this region"},
	{Key: KeyShiftShare, form: formPercent, levels: levelRegionService, max: 100, Help: "fraction of the region's traffic that the shift moves"},
	{Key: KeyShiftCap, form: formRate, levels: levelRegionService, max: 60000, Help: "maximum rate of the shift, as a percentage of the region's traffic per minute"},
	{Key: KeyKeyRetention, form: formCount, levels: levelRoot, Default: "600000", min: 1000, max: 600000, Help: "how long an Idempotency-Key is remembered after its request has finished"},
	{Key: KeyBlockTable, form: formText, levels: levelRoot, Help: "name of the table that maps client blocks to failure domains"},
}

var definitionsByKey = indexDefinitions()

type (
	// Key is the name of a setting.
	Key string

	// Value is the canonical text of a setting's value, such as "6", "true", "30%",
	// "5%/min" or "a,b".
	Value string

	// Class is the kind of responses that a service returns.
	Class string

	// Definition describes one setting.
	Definition struct {
		Key     Key
		Default Value
		Help    string

		form     form
		levels   level
		min, max int64
	}

	form  uint8
	level uint8
)

// Classes of services. Under overload, export is shed before short.
const (
	ClassShort  Class = "short"
	ClassExport Class = "export"
)

// Definitions returns every setting of the tree.
func Definitions() []Definition {
	return slices.Clone(definitions)
}

func indexDefinitions() map[Key]Definition {
	m := map[Key]Definition{}
	for _, d := range definitions {
		m[d.Key] = d
	}
	return m
}

func (p Path) level() level {
	switch {
	case p.Service != "" && p.Domain != "":
		return levelDomainService
	case p.Service != "" && p.Region != "":
		return levelRegionService
	case p.Service != "":
		return levelService
	case p.Domain != "":
		return levelDomain
	case p.Region != "":
		return levelRegion
	}
	return levelRoot
}

// normalize validates text against the definition and returns its canonical form.
func (d Definition) normalize(text string) (Value, error) {
	text = strings.TrimSpace(text)
	switch d.form {
	case formCount:
		return d.normalizeCount(text)
	case formBool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return "", fmt.Errorf("%q is neither true nor false", text)
		}
		return Value(strconv.FormatBool(b)), nil
	case formPercent:
		return d.normalizePercent(text, "%")
	case formRate:
		return d.normalizePercent(text, "%/min")
	case formTime:
		t, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return "", fmt.Errorf("%q is not an RFC 3339 time such as 2026-12-02T18:00:00Z", text)
		}
		return Value(t.UTC().Format(time.RFC3339)), nil
	case formAddresses:
		return normalizeAddresses(text)
	case formWords:
		return Value(strings.Join(splitList(text), ",")), nil
	case formClass:
		if c := Class(text); c != ClassShort && c != ClassExport {
			return "", fmt.Errorf("%q is neither %s nor %s", text, ClassShort, ClassExport)
		}
	}
	if text == "" {
		return "", fmt.Errorf("is empty; unset the setting instead")
	}
	return Value(text), nil
}

func (d Definition) normalizeCount(text string) (Value, error) {
	n, err := strconv.ParseInt(strings.ReplaceAll(text, "_", ""), 10, 64)
	if err != nil {
		return "", fmt.Errorf("%q is not a whole number", text)
	}
	if n < d.min || n > d.max {
		return "", fmt.Errorf("%d is outside %d to %d", n, d.min, d.max)
	}
	return Value(strconv.FormatInt(n, 10)), nil
}

func (d Definition) normalizePercent(text, unit string) (Value, error) {
	f, err := strconv.ParseFloat(strings.TrimSuffix(text, unit), 64)
	if err != nil || !strings.HasSuffix(text, unit) {
		return "", fmt.Errorf("%q is not a number followed by %q", text, unit)
	}
	if !(f > 0 && f <= float64(d.max)) {
		return "", fmt.Errorf("%s is outside 0%s to %d%s", text, unit, d.max, unit)
	}
	return Value(strconv.FormatFloat(f, 'g', -1, 64) + unit), nil
}

func normalizeAddresses(text string) (Value, error) {
	seen := map[string]bool{}
	list := splitList(text)
	for _, a := range list {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return "", fmt.Errorf("%q is not an IP number with a port", a)
		}
		if seen[a] {
			return "", fmt.Errorf("%q is listed twice", a)
		}
		seen[a] = true
	}
	return Value(strings.Join(list, ",")), nil
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

// conflictGroup returns the group of k. Changes to settings of the same group conflict.
func conflictGroup(k Key) string {
	switch {
	case strings.HasPrefix(string(k), shiftPrefix):
		return shiftPrefix
	case k == KeyDrainUntil:
		return string(KeyDrain)
	}
	return string(k)
}

func (v Value) int() int64 {
	n, _ := strconv.ParseInt(string(v), 10, 64)
	return n
}

func (v Value) fraction() float64 {
	s, _, _ := strings.Cut(string(v), "%")
	f, _ := strconv.ParseFloat(s, 64)
	return f / 100
}

func (v Value) list() []string {
	return splitList(string(v))
}

func (v Value) millis() timekeeper.Millis {
	t, err := time.Parse(time.RFC3339, string(v))
	if err != nil {
		return 0
	}
	return timekeeper.Millis(t.UnixMilli())
}

// tomlKind returns the TOML kind in which values of d are written.
func (d Definition) tomlKind() parser.Kind {
	switch d.form {
	case formCount:
		return parser.KindNumber
	case formBool:
		return parser.KindBool
	case formAddresses, formWords:
		return parser.KindList
	}
	return parser.KindText
}
