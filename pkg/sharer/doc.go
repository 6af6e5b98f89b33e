// Package sharer splits a key space among sites by shares in fixed point.
//
// A key (the hash of a client block) is mapped to one site of a traffic split. Two
// processes with the same split map every key to the same site, without a table
// of keys. Moving a share from one site to another moves keys almost only
// between these two sites, and moving it back restores the mapping.
package sharer
