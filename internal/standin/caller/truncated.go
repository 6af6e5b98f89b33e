package caller

import (
	"errors"
	"io"
	"strings"
	"syscall"
)

// isTruncated tells whether an error while an answer was read means that the answer
// broke off, as opposed to one with other bytes than are due.
func isTruncated(err error) bool {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return true
	}
	// net/http has no exported error for a chunked answer that ends early.
	return strings.Contains(err.Error(), "unexpected EOF") || strings.Contains(err.Error(), "closed")
}
