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

// The paths of the operators' listener.
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

// The kinds of failure, from which the command line takes its exit code.
const (
	FailureInput       Failure = "Input"
	FailureForbidden   Failure = "Forbidden"
	FailureConflict    Failure = "Conflict"
	FailureUnsafe      Failure = "Unsafe"
	FailureUnknown     Failure = "Unknown"
	FailureUnreachable Failure = "Unreachable"
)

type (
	// Failure is a kind of failure.
	Failure string

	// ErrorAnswer is the answer to a call that failed.
	ErrorAnswer struct {
		Failure  Failure
		Text     string
		Problems parser.Problems `json:",omitempty"`
		// Theirs is the change that was faster.
		Theirs *recorder.Change `json:",omitempty"`
	}

	// SettingsAnswer is the settings in force at a path.
	SettingsAnswer struct {
		Number recorder.Number
		Path   string
		Values []resolver.Source
		// Beneath is what is set further down.
		Beneath []resolver.Edit `json:",omitempty"`
	}

	// TOMLAnswer is the whole tree as text.
	TOMLAnswer struct {
		Number recorder.Number
		Text   string
	}

	// LogAnswer is a part of the log of changes.
	LogAnswer struct {
		Changes []recorder.Change
	}

	// ChangeRequest asks for a change. One of Edits, TOML and Undo is set.
	ChangeRequest struct {
		ID    recorder.ChangeID
		Why   string
		Base  recorder.Number
		Edits []resolver.Edit
		// TOML replaces the whole tree by the one in the text.
		TOML   string
		File   string
		Undo   recorder.Number
		DryRun bool
		Force  bool
	}

	// ChangeAnswer tells of an accepted change, or of a dry run.
	ChangeAnswer struct {
		Number   recorder.Number
		Edits    []resolver.Edit
		Warnings parser.Problems `json:",omitempty"`
		DryRun   bool            `json:",omitempty"`
		// Predicted is the use of every site once the change is carried out,
		// by the load measured now. Only a dry run tells it.
		Predicted []planner.Use `json:",omitempty"`
	}

	// InForceAnswer tells on how many daemons a change is in force.
	InForceAnswer struct {
		Number  recorder.Number
		InForce int
		Members int
	}

	// BlocksAnswer tells of a stored table of client blocks.
	BlocksAnswer struct {
		Name   string
		Blocks int
	}

	// Status is the fleet as one daemon knows it.
	Status struct {
		Daemon   string
		Site     registrar.Site
		Settings recorder.Number
		Plan     planner.Number
		// PlanMillis is the wall time at which the planner made the plan.
		PlanMillis timekeeper.Millis
		// InForce is on how many of Members the settings here are in force.
		InForce int
		Members int
		// Platform tells whether the platform answered; without it the rest
		// is what this daemon last knew.
		Platform bool
		Blocks   int
		Regions  []RegionStatus
		Drained  []string       `json:",omitempty"`
		Shifts   []ShiftStatus  `json:",omitempty"`
		Holds    []planner.Hold `json:",omitempty"`
		// Owned is the upstreams of this daemon, as of now.
		Owned []OwnedStatus `json:",omitempty"`
		// Lead tells whether this daemon leads its region, LeadReached whether
		// it reaches whoever does. Cut off from both lead and platform it goes
		// on with what it has.
		Lead        bool
		LeadReached bool
		// Fence is that of the lead's holding, PlannerFence that of the
		// planner's, 0 where this daemon holds neither. No two daemons ever
		// show the same.
		Fence        leaser.Fence
		PlannerFence leaser.Fence
		// InvariantsBroken counts what must never be, see docs/FAILURES.md.
		InvariantsBroken uint64
		// Valid tells whether this daemon may send to its upstreams.
		Valid   bool
		Control ControlStatus
		// Outlook is filled in by the command line, which asks for it apart: it
		// costs much more than the rest.
		Outlook *Outlook `json:",omitempty"`
	}

	// Outlook is what is free in each region, and what the loss of each place
	// would do, going by the load now.
	Outlook struct {
		Headroom []planner.Headroom
		Losses   []planner.Loss
	}

	// OwnedStatus is the pool of one service at one site in this daemon.
	OwnedStatus struct {
		Service resolver.ServiceName
		Site    registrar.Site
		Slots   int
		Busy    int
		Waiting int
	}

	// RegionStatus is one region.
	RegionStatus struct {
		Region   string
		Members  int
		Leaving  int
		Fence    uint64
		Services []ServiceStatus
	}

	// ServiceStatus is the use of a service's slots in a region.
	ServiceStatus struct {
		Service resolver.ServiceName
		Slots   uint32
		Busy    uint32
		Peak    uint32
		Waiting uint32
		// Limit is how many slots the plan may fill.
		Limit float64
	}

	// ShiftStatus is how far a shift has come.
	ShiftStatus struct {
		Service resolver.ServiceName
		From    string
		To      string
		// Want and Have are the share of the traffic of From that is to move
		// and has moved.
		Want float64
		Have float64
	}

	// ControlStatus is what this daemon spent on control since it started.
	ControlStatus struct {
		UpMillis     timekeeper.Millis
		LinkBytesIn  uint64
		LinkBytesOut uint64
		LinkFrames   uint64
		// WireBytes are all bytes on links, requests and pings included.
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
