package commander

import (
	"context"

	"github.com/gullvale/gullvale/internal/process/operator"
)

// PostBlocks uploads a table of client blocks to the daemon at address.
func PostBlocks(ctx context.Context, address, name string, text []byte) error {
	c := &client{addresses: []string{address}}
	var response struct{}
	return c.postBlocks(ctx, name, text, &response)
}

// Change requests a change from the daemons at addresses and returns the exit code.
func Change(ctx context.Context, addresses ...string) int {
	c := &client{addresses: addresses}
	_, err := c.change(ctx, operator.ChangeRequest{})
	return exitCode(err)
}
