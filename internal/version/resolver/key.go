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

// The settings of the tree.
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

	allLevels = levelRoot | levelRegion | levelDomain | levelService | levelRegionService | levelDomainService
	places    = levelRoot | levelRegion | levelDomain
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

// shiftPrefix starts the keys that make up one shift and change together.
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

// definitions is every setting of the tree, in the order in which people read
// them.
var definitions = []Definition{
	{Key: KeyUpstreams, form: formAddresses, levels: levelDomainService, Help: "addresses of the servers of the service at the site"},
	{Key: KeySlots, form: formCount, levels: allLevels, Default: "4", min: 1, max: 100000, Help: "requests that one upstream serves at the same time"},
	{Key: KeyClass, form: formClass, levels: allLevels, Default: Value(ClassShort), Help: "short (answers of a few KB) or export (long streams)"},
	{Key: KeyLimit, form: formPercent, levels: allLevels, Default: "85%", max: 100, Help: "part of the slots that the plan may fill"},
	{Key: KeyDeadline, form: formCount, levels: allLevels, Default: "10000", max: 24 * 3600 * 1000, Help: "longest time for a request whose caller names none; 0 is no limit"},
	{Key: KeyMaxBody, form: formCount, levels: allLevels, Default: "16777216", max: 1 << 40, Help: "largest body of a request in bytes"},
	{Key: KeyExportRate, form: formCount, levels: allLevels, Default: "0", max: 1 << 40, Help: "bytes a second that exports of a region may send to another; 0 is no limit"},
	{Key: KeyQueueLength, form: formCount, levels: allLevels, Default: "64", max: 100000, Help: "requests that wait at one owner; more are refused"},
	{Key: KeyLookupLifetime, form: formCount, levels: allLevels, Default: "2000", min: 100, max: 3600 * 1000, Help: "how long callers keep the answer to a look-up"},
	{Key: KeyEntries, form: formCount, levels: allLevels, Default: "3", min: 1, max: 16, Help: "entries named in the answer to a look-up"},
	{Key: KeyHosts, form: formWords, levels: levelService, Help: "values of the Host header that name the service"},
	{Key: KeyIdempotentMethods, form: formWords, levels: allLevels, Default: "GET,HEAD,OPTIONS", Help: "methods that may run twice without harm"},
	{Key: KeyRefusalHeader, form: formText, levels: allLevels, Default: "X-Not-Run", Help: "header by which an upstream says that it did not run a request"},
	{Key: KeyDrainHeader, form: formText, levels: allLevels, Default: "X-Draining", Help: "header by which an upstream says that it is leaving"},
	{Key: KeyProbePath, form: formText, levels: allLevels, Default: "/health", Help: "path that the owner of an upstream probes"},
	{Key: KeyProbeInterval, form: formCount, levels: allLevels, Default: "2000", min: 100, max: 3600 * 1000, Help: "time between two probes of an upstream"},
	{Key: KeyRetryBudget, form: formPercent, levels: allLevels, Default: "10%", max: 100, Help: "retries allowed, in per cent of first tries"},
	{Key: KeyDrain, form: formBool, levels: allLevels, Default: "false", Help: "move all traffic away; true at any level above counts"},
	{Key: KeyDrainUntil, form: formTime, levels: allLevels, Help: "when the drain at the same level ends by itself"},
	{Key: KeyMoveCap, form: formRate, levels: allLevels, Default: "600%/min", max: 60000, Help: "how fast traffic moves when no shift caps it"},
	{Key: KeyShiftTo, form: formText, levels: levelRegionService, Help: "region that takes a part of the traffic of this one"},
	{Key: KeyShiftShare, form: formPercent, levels: levelRegionService, max: 100, Help: "part of the region's traffic that the shift moves"},
	{Key: KeyShiftCap, form: formRate, levels: levelRegionService, max: 60000, Help: "how fast the shift moves traffic, in per cent of the region's traffic a minute"},
	{Key: KeyKeyRetention, form: formCount, levels: levelRoot, Default: "600000", min: 1000, max: 600000, Help: "how long an Idempotency-Key is remembered after its request ended"},
	{Key: KeyBlockTable, form: formText, levels: levelRoot, Help: "name of the table that maps client blocks to failure domains"},
}

var definitionsByKey = indexDefinitions()

type (
	// Key names a setting.
	Key string

	// Value is a setting's value in its canonical text: "6", "true", "30%",
	// "5%/min", "a,b".
	Value string

	// Class says what kind of answers a service gives.
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

// The classes, in the order in which overload gives way: export first.
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

// normalize checks text against the definition and returns its canonical form.
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
			return "", fmt.Errorf("%q is not a time such as 2026-12-02T18:00:00Z", text)
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
		return "", fmt.Errorf("is empty; unset it instead")
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
		return "", fmt.Errorf("%q is not a number with %q behind it", text, unit)
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
			return "", fmt.Errorf("%q stands twice", a)
		}
		seen[a] = true
	}
	return Value(strings.Join(list, ",")), nil
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

// conflictGroup returns the name under which a key races with others at its path.
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

// tomlKind returns the TOML kind by which a value of d is written.
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
