package decoder

import "bytes"

// MaxDepth is how deep arrays and objects may be nested. Decoders refuse a whole text with one value
// beyond their own limits, which are far higher, so that a value remains readable within another one.
const MaxDepth = 1000

// null replaces a value.
var null = []byte("null")

// LimitDepth returns JSON text in which each array and object beyond MaxDepth is replaced by null, and
// whether there is any. Otherwise it returns b itself.
func LimitDepth(b []byte) (limited []byte, changed bool) {
	if len(b) <= 2*MaxDepth {
		return b, false
	}
	depth, copied := 0, 0
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			i += stringLength(b[i:]) - 1
		case '[', '{':
			if depth++; depth == MaxDepth+1 {
				limited = append(append(limited, b[copied:i]...), null...)
				copied = len(b) // unless the value has an end
			}
		case ']', '}':
			if depth == MaxDepth+1 {
				copied = i + 1
			}
			depth--
		}
	}
	if limited == nil {
		return b, false
	}
	return append(limited, b[copied:]...), true
}

// stringLength returns the length of the string that b begins with, or that of b if it has no end.
func stringLength(b []byte) int {
	for i := 1; i < len(b); i++ {
		n := bytes.IndexAny(b[i:], `"\`)
		if n < 0 {
			break
		}
		if i += n; b[i] == '"' {
			return i + 1
		}
		i++ // the escaped byte
	}
	return len(b)
}
