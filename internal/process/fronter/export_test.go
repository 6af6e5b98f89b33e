package fronter

import "context"

// AwaitStart is awaitStart.
func (f *Fronter) AwaitStart(ctx context.Context) { f.awaitStart(ctx) }
