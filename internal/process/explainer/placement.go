package explainer

import (
	"fmt"
	"strings"

	"github.com/gullvale/gullvale/internal/request/assigner"
)

// placementTexts explains the reasons for the choice of an upstream.
var placementTexts = map[assigner.Reason]string{
	assigner.AtHome:                "it was the key's home as that VM knew it",
	assigner.NewKey:                "no home of the key was known there: it got one now, and ran there for the first time unless another VM had placed it too",
	assigner.Untracked:             "the key has no home, since as many keys have one as are kept: it went by its hash",
	assigner.HomeCrowded:           "the key moved there now: its home had far more load than this one",
	assigner.HomeGone:              "the key moved there now: its home takes no work any more",
	assigner.HomeNotAllowed:        "the key moved there now: the route may not run any more in the region of its home",
	assigner.HomeFull:              "the key moved there now: too many requests waited at its home",
	assigner.HomePassedOver:        "the key's home was passed over for this request, being down, failing or cold, and stays its home",
	assigner.RetriedElsewhere:      "it was sent there after another upstream had refused it or broken it off",
	assigner.RetriedAtSameUpstream: "it was sent there once more after it had been refused there",
	assigner.Isolated:              "upstreams had ended under it before: it went by its own hash, away from the requests of its key",
	assigner.NoKey:                 "it has no key that is kept to a home: it went by its hash",
}

// writePlacement writes why the request's upstream was chosen, if the log says so.
func (e Explanation) writePlacement(printf func(string, ...any)) {
	q := e.Request
	reason, former := strings.CutSuffix(q.Placement, assigner.FormerSuffix)
	words, ok := placementTexts[assigner.Reason(reason)]
	if !ok {
		return
	}
	if q.PreviousHome != "" {
		words += fmt.Sprintf("; the home was %s at %s", q.PreviousHome, q.PreviousHomeSite)
	}
	if former {
		words += "; the key had run there before"
	}
	printf("%s", words)
}
