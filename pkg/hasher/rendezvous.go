package hasher

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	mixA = 0x9e3779b97f4a7c15
	mixB = 0xbf58476d1ce4e5b9
	mixC = 0x94d049bb133111eb

	// mantissaBits is how many bits of a hash make the number in (0, 1).
	mantissaBits = 53
)

// Hash is a well-mixed 64-bit hash.
type Hash uint64

// OfString hashes s.
func OfString(s string) Hash {
	return Hash(xxhash.Sum64String(s))
}

// Mix combines two hashes into a third that depends on both.
func Mix(a, b Hash) Hash {
	h := uint64(a) ^ bits.RotateLeft64(uint64(b), 32)*mixA
	h = (h ^ (h >> 30)) * mixB
	h = (h ^ (h >> 27)) * mixC
	return Hash(h ^ (h >> 31))
}

// Best returns the index in nodes of the rendezvous choice for key: the node
// with the highest mixed hash. Removing a node moves only its own keys. It
// returns -1 when nodes is empty.
func Best(key Hash, nodes []Hash) int {
	best := -1
	var high Hash
	for i, n := range nodes {
		h := Mix(key, n)
		if best < 0 || h > high {
			best, high = i, h
		}
	}
	return best
}

// Distance returns the weighted rendezvous distance of key to node: the choice
// with the smallest distance wins, and it wins with a probability in proportion
// to weight. A weight of 0 is infinitely far.
func Distance(key, node Hash, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(1)
	}
	h := uint64(Mix(key, node)) >> (64 - mantissaBits)
	u := (float64(h) + 0.5) / (1 << mantissaBits)
	return -math.Log(u) / weight
}
