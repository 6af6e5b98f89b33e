package hasher

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	// mixA, mixB and mixC are the increment and the multipliers of SplitMix64.
	mixA = 0x9e3779b97f4a7c15
	mixB = 0xbf58476d1ce4e5b9
	mixC = 0x94d049bb133111eb

	// The logarithm table has 2^logBits intervals, within which stepBits more bits
	// are used for linear interpolation. The error is below 3e-6.
	logBits  = 8
	stepBits = 20
)

// logTable holds the base-2 logarithms of equidistant numbers from 1 to 2.
var logTable = makeLogTable()

// Hash is a well-mixed 64-bit hash.
type Hash uint64

// OfString hashes s.
func OfString(s string) Hash {
	return Hash(xxhash.Sum64String(s))
}

// Mix combines two hashes. The order of the arguments matters.
func Mix(a, b Hash) Hash {
	h := uint64(a) ^ bits.RotateLeft64(uint64(b), 32)*mixA
	h = (h ^ (h >> 30)) * mixB
	h = (h ^ (h >> 27)) * mixC
	return Hash(h ^ (h >> 31))
}

// Best returns the index in nodes of the rendezvous choice for key, which is the
// node with the highest mixed hash, or -1 if nodes is empty. Removing a node moves
// only the keys of that node.
func Best(key Hash, nodes []Hash) int {
	best := -1
	var highest Hash
	for i, n := range nodes {
		h := Mix(key, n)
		if best < 0 || h > highest {
			best, highest = i, h
		}
	}
	return best
}

// Distance returns the weighted rendezvous distance between key and node, where
// inverse is the reciprocal of the node's weight. The node with the smallest
// distance is chosen, with a probability proportional to its weight.
//
// The distance is -log2(u)*inverse for a hash u between 0 and 1. The table lookup is
// faster than math.Log and, unlike it, gives the same bits on every processor.
func Distance(key, node Hash, inverse float64) float64 {
	h := uint64(Mix(key, node)) | 1
	zeros := bits.LeadingZeros64(h)
	// The bits after the leading one.
	m := h << zeros << 1
	i := m >> (64 - logBits)
	step := m >> (64 - logBits - stepBits) & (1<<stepBits - 1)
	low, high := logTable[i], logTable[i+1]
	log := low + (high-low)*float64(step)/(1<<stepBits)
	return (float64(zeros+1) - log) * inverse
}

func makeLogTable() (t [1<<logBits + 1]float64) {
	const scale = 1 << 40
	for i := range t {
		// Rounding removes differences between implementations of math.Log2.
		t[i] = math.Round(math.Log2(1+float64(i)/(1<<logBits))*scale) / scale
	}
	return t
}
