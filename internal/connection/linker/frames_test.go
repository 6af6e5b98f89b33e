package linker_test

import (
	"encoding/binary"
	"io"
	"net"
	"slices"
	"testing"

	"github.com/hashicorp/yamux"
	"pgregory.net/rapid"

	"github.com/gullvale/gullvale/internal/connection/linker"
)

const yamuxData = 0

type (
	// fragmentingConn returns what it holds in reads of given sizes, then io.EOF.
	fragmentingConn struct {
		net.Conn
		rest  []byte
		sizes []int
		// errorWithBytes returns io.EOF with the last bytes.
		errorWithBytes bool
	}

	// streamModel is what the remote end has done with the stream of a call.
	streamModel struct{ closed, reset bool }
)

func (c *fragmentingConn) Read(p []byte) (int, error) {
	n := len(p)
	if len(c.sizes) > 0 {
		n = min(n, c.sizes[0])
		c.sizes = c.sizes[1:]
	}
	n = copy(p[:n], c.rest)
	c.rest = c.rest[n:]
	if len(c.rest) == 0 && (c.errorWithBytes || n == 0) {
		return n, io.EOF
	}
	return n, nil
}

// flags returns the flags that yamux receives of a frame.
func (s *streamModel) flags(f uint16) uint16 {
	switch {
	case s.reset:
		return f &^ (yamuxFin | yamuxReset)
	case f&yamuxReset == 0:
	case s.closed || f&yamuxFin != 0:
		f, s.reset = f&^yamuxReset, true
	default:
		f, s.reset = f&^yamuxReset|yamuxFin, true
	}
	s.closed = s.closed || f&yamuxFin != 0
	return f
}

// openStreams returns the first n streams of a session that nobody answers.
func openStreams(t *testing.T, n int) []*yamux.Stream {
	a, b := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, b) }()
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.EnableKeepAlive = false
	mux, err := yamux.Client(a, c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mux.Close() })
	var streams []*yamux.Stream
	for range n {
		s, err := mux.OpenStream()
		if err != nil {
			t.Fatal(err)
		}
		streams = append(streams, s)
	}
	return streams
}

// TestOnlyResetsOfCallsChange reads random frames in random fragments: nothing is lost, held back or
// changed but the flags of frames that close or reset the stream of a call.
func TestOnlyResetsOfCallsChange(t *testing.T) {
	streams := openStreams(t, 2)
	rapid.Check(t, func(t *rapid.T) {
		model := map[uint32]*streamModel{}
		conn := &fragmentingConn{
			sizes:          rapid.SliceOf(rapid.IntRange(0, 40)).Draw(t, "sizes"),
			errorWithBytes: rapid.Bool().Draw(t, "errorWithBytes"),
		}
		c := linker.NewMuxConn(conn)
		for _, s := range streams {
			c.AddCall(s)
			model[s.StreamID()] = &streamModel{}
		}
		var want []byte
		for range rapid.IntRange(0, 20).Draw(t, "frames") {
			sent, received := drawFrame(t, model)
			conn.rest = append(conn.rest, sent...)
			want = append(want, received...)
		}
		// The last header may be incomplete. Nothing of it is passed on.
		partial := make([]byte, rapid.IntRange(0, yamuxHeaderBytes-1).Draw(t, "partial"))
		conn.rest = append(conn.rest, partial...)
		got, err := readAll(c, rapid.IntRange(yamuxHeaderBytes, 5000).Draw(t, "buffer"))
		if err != io.EOF || !slices.Equal(got, want) {
			t.Fatalf("read %d bytes and %v, want %d bytes and %v", len(got), err, len(want), io.EOF)
		}
	})
}

// drawFrame returns a frame as the remote end sends it and as yamux receives it.
func drawFrame(t *rapid.T, model map[uint32]*streamModel) (sent, received []byte) {
	version := rapid.SampledFrom([]byte{0, 0, 0, 1}).Draw(t, "version")
	kind := rapid.ByteRange(yamuxData, 4).Draw(t, "type")
	flags := uint16(rapid.IntRange(0, 15).Draw(t, "flags"))
	stream := rapid.SampledFrom([]uint32{0, 1, 2, 3, 5}).Draw(t, "stream")
	length := uint32(rapid.IntRange(0, 60).Draw(t, "length"))
	header := func(flags uint16) []byte {
		b := []byte{version, kind}
		b = binary.BigEndian.AppendUint16(b, flags)
		b = binary.BigEndian.AppendUint32(b, stream)
		return binary.BigEndian.AppendUint32(b, length)
	}
	sent, received = header(flags), header(flags)
	if version != 0 || kind > yamuxWindowUpdate {
		return sent, received
	}
	if s := model[stream]; s != nil {
		received = header(s.flags(flags))
	}
	if kind == yamuxData {
		body := rapid.SliceOfN(rapid.Byte(), int(length), int(length)).Draw(t, "body")
		sent, received = append(sent, body...), append(received, body...)
	}
	return sent, received
}

// readAll reads with a buffer of n bytes until an error.
func readAll(r io.Reader, n int) ([]byte, error) {
	var got []byte
	b := make([]byte, n)
	for {
		n, err := r.Read(b)
		got = append(got, b[:n]...)
		if err != nil {
			return got, err
		}
	}
}
