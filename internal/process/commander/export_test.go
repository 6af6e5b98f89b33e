package commander

import "context"

// PostBlocks sends a table of blocks to the daemon at an address.
func PostBlocks(ctx context.Context, address, name string, text []byte) error {
	c := &client{addresses: []string{address}}
	var answer struct{}
	return c.postBlocks(ctx, name, text, &answer)
}
