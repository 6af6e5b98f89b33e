package fronter

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// retryReportInterval is the time between two reports on the use of the retry budget.
const retryReportInterval = time.Second

func (f *Fronter) loopRetries(ctx context.Context) {
	timekeeper.Every(ctx, retryReportInterval, f.reportRetries)
}

// reportRetries logs and counts the retries that were granted, refused or released since the last
// call, with what this VM's part of the budget was computed from.
func (f *Fronter) reportRetries() {
	f.Meter.Gauge("retry_members", measurer.Labels{}, float64(f.fleetSize()))
	for _, u := range f.dispatcher.Retries.Report() {
		f.Meter.Add("retries", measurer.Labels{Service: string(u.Service), Kind: "granted"}, int64(u.Granted))
		f.Meter.Add("retries", measurer.Labels{Service: string(u.Service), Kind: "refused"}, int64(u.Refused))
		f.Meter.Add("retries", measurer.Labels{Service: string(u.Service), Kind: "released"}, int64(u.Released))
		f.options.Log.WithFields(logrus.Fields{
			"service": u.Service, "granted": u.Granted, "refused": u.Refused, "released": u.Released,
			"requests": u.Requests, "retries": u.Retries, "left": math.Round(u.Left*100) / 100,
			"members": f.fleetSize(), "heard": len(f.members()), "burst": u.Limits.Burst, "age": int64(f.clock.Now() - f.startup.startedAt),
		}).Info("retry budget")
	}
}
