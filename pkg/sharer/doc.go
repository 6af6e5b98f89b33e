// Package sharer divides a key space among sites by shares in fixed point.
//
// A key (the hash of a client block) is mapped to one site of a Division. Two
// processes with the same division map every key alike, without a table of
// keys. Moving a share from one site to another moves keys between these two
// sites almost only, and moving it back returns the same keys.
package sharer
