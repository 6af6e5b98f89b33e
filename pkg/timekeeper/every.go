package timekeeper

import (
	"context"
	"time"
)

// Every calls f once per interval until ctx is done. A call that takes longer delays
// the next one; missed calls are not made up.
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
