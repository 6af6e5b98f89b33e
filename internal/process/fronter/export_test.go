package fronter

import "context"

// AwaitStartup exports awaitStartup for tests.
func (f *Fronter) AwaitStartup(ctx context.Context) { f.awaitStartup(ctx) }
