package locator

import (
	"net/netip"

	"github.com/gaissmai/bart"
	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
)

const (
	// An address outside all blocks is treated as if its network of this prefix length
	// were a block, so that neighbouring addresses are routed alike.
	unlistedBits4 = 24
	unlistedBits6 = 48

	maxOrigins = 1 << 16
)

type (
	// Table maps addresses to blocks. The zero value has no blocks.
	Table struct {
		blocks  bart.Table[uint32]
		origins []registrar.Site
		// origin and hash are indexed by block number; origin holds indexes into
		// origins.
		origin []uint16
		hash   []hasher.Hash
	}

	// Builder builds a table. The zero value is ready for use.
	Builder struct {
		table         Table
		originIndexes map[registrar.Site]uint16
	}

	// Block is the block that contains an address.
	Block struct {
		// Origin is the failure domain of the block, or "" if the address is in none.
		Origin registrar.Site
		// Hash is the position of the block in the key space.
		Hash hasher.Hash
	}
)

// Add adds a block to the table. If the block is already present, its origin is
// replaced.
func (b *Builder) Add(p netip.Prefix, origin registrar.Site) error {
	if !p.IsValid() {
		return eris.New("invalid address block")
	}
	i, err := b.originIndex(origin)
	if err != nil {
		return err
	}
	n := uint32(len(b.table.origin))
	b.table.blocks.Insert(p, n)
	b.table.origin = append(b.table.origin, i)
	b.table.hash = append(b.table.hash, hashOf(p))
	return nil
}

func (b *Builder) originIndex(origin registrar.Site) (uint16, error) {
	if i, ok := b.originIndexes[origin]; ok {
		return i, nil
	}
	if len(b.table.origins) == maxOrigins {
		return 0, eris.New("too many origins")
	}
	if b.originIndexes == nil {
		b.originIndexes = map[registrar.Site]uint16{}
	}
	i := uint16(len(b.table.origins))
	b.originIndexes[origin] = i
	b.table.origins = append(b.table.origins, origin)
	return i, nil
}

// Table returns the table. The builder must not be used afterwards.
func (b *Builder) Table() *Table {
	return &b.table
}

// Len returns the number of blocks.
func (t *Table) Len() int {
	return t.blocks.Size()
}

// Find returns the block of the longest prefix that contains an address. It does not
// allocate.
func (t *Table) Find(a netip.Addr) Block {
	a = a.Unmap()
	n, ok := t.blocks.Lookup(a)
	if !ok {
		return Block{Hash: unlistedHash(a)}
	}
	return Block{Origin: t.origins[t.origin[n]], Hash: t.hash[n]}
}

func unlistedHash(a netip.Addr) hasher.Hash {
	bits := unlistedBits6
	if a.Is4() {
		bits = unlistedBits4
	}
	p, err := a.Prefix(bits)
	if err != nil {
		return 0
	}
	return hashOf(p)
}

func hashOf(p netip.Prefix) hasher.Hash {
	b := p.Masked().Addr().As16()
	var high, low hasher.Hash
	for i := range 8 {
		high = high<<8 | hasher.Hash(b[i])
		low = low<<8 | hasher.Hash(b[i+8])
	}
	return hasher.Mix(hasher.Mix(high, low), hasher.Hash(p.Bits()))
}
