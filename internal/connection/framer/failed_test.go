package framer_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/framer"
)

var errSlow = errors.New("write timed out")

// failingOnce is a sink whose next write fails after a part of it, if partial is not 0.
type failingOnce struct {
	bytes.Buffer
	partial int
}

func (s *failingOnce) Write(p []byte) (int, error) {
	n := s.partial
	if n == 0 {
		return s.Buffer.Write(p)
	}
	s.partial = 0
	s.Buffer.Write(p[:n])
	return n, errSlow
}

// TestNothingFollowsPartialFrame guards against a frame that is read as the rest of an earlier one,
// whose write failed in the middle: the body of a response would hold bytes that no upstream sent.
func TestNothingFollowsPartialFrame(t *testing.T) {
	is := is.New(t)
	s := &failingOnce{partial: 1000}
	w := framer.NewWriter(s)
	is.True(errors.Is(w.Bytes(framer.KindChunk, bytes.Repeat([]byte("x"), 1000)), errSlow))
	is.True(errors.Is(w.Message(framer.KindEnd, &framer.End{Reason: "cancelled"}), errSlow))
	_, err := framer.NewReader(s).Read()
	is.Equal(err, io.ErrUnexpectedEOF)
}

// TestFrameThatIsTooLongEndsNothing checks that frames follow one of which nothing was written.
func TestFrameThatIsTooLongEndsNothing(t *testing.T) {
	is := is.New(t)
	w := framer.NewWriter(&failingOnce{})
	is.True(errors.Is(w.Bytes(framer.KindChunk, make([]byte, framer.MaxFrameBytes+1)), framer.ErrTooLong))
	is.NoErr(w.Message(framer.KindFree, &framer.Free{}))
}
