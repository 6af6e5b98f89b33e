package timekeeper

import (
	"context"
	"time"
)

// Every calls f at each interval until ctx ends. A call that takes longer delays
// the next; calls that were missed are not made up for.
func Every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}
