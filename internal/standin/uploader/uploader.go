package uploader

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"
)

// Upload is a POST request with a long body.
type Upload struct {
	Host   string
	Header http.Header
	Body   string
	// Chunked means that the body is sent in chunks instead of with a length.
	Chunked bool
	// Piece is how many bytes are sent at a time, and Interval the pause between two pieces.
	Piece    int
	Interval time.Duration
}

// Numbered returns a body in which each 10 bytes state their position.
func Numbered(length int) string {
	var b strings.Builder
	for b.Len() < length {
		fmt.Fprintf(&b, "%09d\n", b.Len())
	}
	return b.String()[:length]
}

// Send sends the request. An error means that the server has closed the connection.
func (u *Upload) Send(w io.Writer) error {
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(u.Body))
	if u.Chunked {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	if _, err := fmt.Fprintf(w, "POST /x HTTP/1.1\r\nHost: %s\r\n%s", u.Host, framing); err != nil {
		return err
	}
	if err := u.Header.Write(w); err != nil {
		return err
	}
	if _, err := io.WriteString(w, "\r\n"); err != nil {
		return err
	}
	if !u.Chunked {
		return u.sendPieces(w)
	}
	chunks := httputil.NewChunkedWriter(w)
	if err := u.sendPieces(chunks); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

func (u *Upload) sendPieces(w io.Writer) error {
	for rest := u.Body; len(rest) > 0; {
		n := min(u.Piece, len(rest))
		if _, err := io.WriteString(w, rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
		time.Sleep(u.Interval)
	}
	return nil
}
