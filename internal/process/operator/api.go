package operator

import (
	"github.com/gullvale/gullvale/internal/version/parser"
	"github.com/gullvale/gullvale/internal/version/planner"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Paths served on the operators' listener.
const (
	PathSettings = "/Settings"
	PathTOML     = "/Settings/TOML"
	PathLog      = "/Settings/Log"
	PathChange   = "/Settings/Change"
	PathInForce  = "/Settings/InForce"
	PathBlocks   = "/Blocks"
	PathStatus   = "/Status"
	PathOutlook  = "/Outlook"
	PathLookup   = "/Lookup"
	PathMetrics  = "/metrics"
	PathHealth   = "/health"
)

// The classes of failure. The command line derives its exit code from them.
const (
	FailureInput       Failure = "Input"
	FailureForbidden   Failure = "Forbidden"
	FailureConflict    Failure = "Conflict"
	FailureUnsafe      Failure = "Unsafe"
	FailureUnknown     Failure = "Unknown"
	FailureUnreachable Failure = "Unreachable"
)

type (
	// Failure classifies why a call failed.
	Failure string

	// ErrorResponse is the response to a call that failed.
	ErrorResponse struct {
		Failure  Failure
		Text     string
		Problems parser.Problems `json:",omitempty"`
		// Theirs is the conflicting change that was recorded first.
		Theirs *recorder.Change `json:",omitempty"`
	}

	// SettingsResponse holds the settings in force at a path.
	SettingsResponse struct {
		Number recorder.Number
		Path   string
		Values []resolver.Source
		// Beneath lists the values set at paths below Path.
		Beneath []resolver.Edit `json:",omitempty"`
	}

	// TOMLResponse holds the whole tree of settings as TOML.
	TOMLResponse struct {
		Number recorder.Number
		Text   string
	}

	// LogResponse holds a part of the change log.
	LogResponse struct {
		Changes []recorder.Change
	}

	// ChangeRequest requests a change. One of Edits, TOML and Undo is set.
	ChangeRequest struct {
		ID    recorder.ChangeID
		Why   string
		Base  recorder.Number
		Edits []resolver.Edit
		// TOML replaces the whole tree of settings.
		TOML   string
		File   string
		Undo   recorder.Number
		DryRun bool
		Force  bool
	}

	// ChangeResponse describes an accepted change or the result of a dry run.
	ChangeResponse struct {
		Number   recorder.Number
		Edits    []resolver.Edit
		Warnings parser.Problems `json:",omitempty"`
		DryRun   bool            `json:",omitempty"`
		// Predicted is the use of every site after the change, based on the
		// current load. It is set only in a dry run.
		Predicted []planner.Use `json:",omitempty"`
	}

	// InForceResponse holds the number of daemons on which a change is in force.
	InForceResponse struct {
		Number  recorder.Number
		InForce int
		Members int
	}

	// BlocksResponse describes a stored table of client blocks.
	BlocksResponse struct {
		Name   string
		Blocks int
	}

	// Status describes the fleet as known to one daemon.
	Status struct {
		Daemon   string
		Site     registrar.Site
		Settings recorder.Number
		Plan     planner.Number
		// PlanMillis is the wall-clock time at which the planner made the plan.
		PlanMillis timekeeper.Millis
		// InForce is the number of members on which this daemon's settings are in
		// force.
		InForce int
		Members int
		// Platform reports whether the platform responded. If it did not, the rest
		// is this daemon's last known state.
		Platform bool
		Blocks   int
		Regions  []RegionStatus
		Drained  []string       `json:",omitempty"`
		Shifts   []ShiftStatus  `json:",omitempty"`
		Holds    []planner.Hold `json:",omitempty"`
		// Owned lists the pools that this daemon owns now.
		Owned []OwnedStatus `json:",omitempty"`
		// Lead reports whether this daemon is the leader of its region, LeadReached
		// whether it reaches the leader. A daemon that reaches neither leader nor
		// platform continues with its last known state.
		Lead        bool
		LeadReached bool
		// Fence and PlannerFence are the fences of the leader's and the planner's
		// lease, 0 if this daemon does not hold the lease. No two daemons ever
		// report the same fence.
		Fence        leaser.Fence
		PlannerFence leaser.Fence
		// InvariantsBroken counts violated invariants, see docs/FAILURES.md.
		InvariantsBroken uint64
		// Valid reports whether this daemon may send to its upstreams.
		Valid   bool
		Control ControlStatus
		// Outlook is set by the command line, which requests it separately because
		// it costs much more than the rest.
		Outlook *Outlook `json:",omitempty"`
	}

	// Outlook holds the headroom of each region and the effect of losing each failure
	// domain or region, based on the current load.
	Outlook struct {
		Headroom []planner.Headroom
		Losses   []planner.Loss
	}

	// OwnedStatus describes the pool of one service at one site that this daemon owns.
	OwnedStatus struct {
		Service resolver.ServiceName
		Site    registrar.Site
		Slots   int
		Busy    int
		Waiting int
	}

	// RegionStatus describes a region as reported by its leader.
	RegionStatus struct {
		Region   string
		Members  int
		Leaving  int
		Fence    uint64
		Services []ServiceStatus
	}

	// ServiceStatus describes the use of a service's slots in a region.
	ServiceStatus struct {
		Service resolver.ServiceName
		Slots   uint32
		Busy    uint32
		Peak    uint32
		Waiting uint32
		// Limit is the number of slots that the plan may fill.
		Limit float64
	}

	// ShiftStatus describes the progress of a shift.
	ShiftStatus struct {
		Service resolver.ServiceName
		From    string
		To      string
		// Want and Have are the shares of From's traffic that are to move and that
		// have moved.
		Want float64
		Have float64
	}

	// ControlStatus counts this daemon's control traffic since it started.
	ControlStatus struct {
		UpMillis     timekeeper.Millis
		LinkBytesIn  uint64
		LinkBytesOut uint64
		LinkFrames   uint64
		// WireBytesIn and WireBytesOut count all bytes on links, including requests
		// and pings.
		WireBytesIn     uint64
		WireBytesOut    uint64
		Pings           uint64
		RequestsHanded  uint64
		PlatformReads   uint64
		PlatformWrites  uint64
		PlatformWatches uint64
		PlatformBytes   uint64
	}
)
