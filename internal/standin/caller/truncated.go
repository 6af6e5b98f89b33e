package caller

import (
	"errors"
	"io"
	"strings"
	"syscall"
)

// isTruncated reports whether an error while reading a response means that the
// response ended early rather than that its content was wrong.
func isTruncated(err error) bool {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return true
	}
	// net/http exports no error for a chunked response that ends early.
	return strings.Contains(err.Error(), "unexpected EOF") || strings.Contains(err.Error(), "closed")
}
