package commander

import (
	"context"

	"github.com/gullvale/gullvale/internal/process/operator"
)

// PostBlocks sends a table of blocks to the daemon at an address.
func PostBlocks(ctx context.Context, address, name string, text []byte) error {
	c := &client{addresses: []string{address}}
	var answer struct{}
	return c.postBlocks(ctx, name, text, &answer)
}

// Change asks the daemons at addresses for a change, and returns the exit code.
func Change(ctx context.Context, addresses ...string) int {
	c := &client{addresses: addresses}
	_, err := c.change(ctx, operator.ChangeRequest{})
	return codeOf(err)
}
