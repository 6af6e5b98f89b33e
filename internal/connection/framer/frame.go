package framer

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

const (
	// ProtocolVersion is the version that Hello carries.
	ProtocolVersion = 2

	// MaxFrameBytes bounds what a frame may hold: a platform object and its
	// envelope.
	MaxFrameBytes = 1<<20 + 1<<16

	// ChunkBytes is the usual size of a piece of a body.
	ChunkBytes = 32 << 10

	headBytes = 5

	// readBytes is the read-ahead of a stream. Longer frames bypass it.
	readBytes = 4 << 10
)

// The kinds of frames.
const (
	KindHello Kind = iota + 1
	KindHeartbeat
	KindAck
	KindObjects
	KindFetch
	KindFree
	KindClaim
	KindReleased
	KindRequest
	KindAdmitted
	KindResponse
	KindChunk
	KindEnd
	KindSuspects
)

// ErrTooLong reports a frame beyond MaxFrameBytes.
var ErrTooLong = eris.New("frame too long")

type (
	// Kind tells what a frame holds.
	Kind uint8

	// Frame is one frame as read. Body is valid until the next read.
	Frame struct {
		Kind Kind
		Body []byte
	}

	// Reader reads frames. It is for one goroutine.
	Reader struct {
		source *bufio.Reader
		buffer []byte
		head   [headBytes]byte
	}

	// Writer writes frames, each in one write. It is safe for concurrent use.
	Writer struct {
		lock   sync.Mutex
		sink   io.Writer
		buffer []byte
	}
)

// NewReader reads frames from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(r, readBytes)}
}

// NewWriter writes frames to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{sink: w}
}

// Read returns the next frame.
func (r *Reader) Read() (Frame, error) {
	if _, err := io.ReadFull(r.source, r.head[:]); err != nil {
		return Frame{}, err
	}
	n := int(binary.BigEndian.Uint32(r.head[1:]))
	if n > MaxFrameBytes {
		return Frame{}, ErrTooLong
	}
	if cap(r.buffer) < n {
		r.buffer = make([]byte, max(n, readBytes))
	}
	b := r.buffer[:n]
	if _, err := io.ReadFull(r.source, b); err != nil {
		return Frame{}, noEOF(err)
	}
	return Frame{Kind: Kind(r.head[0]), Body: b}, nil
}

// Decode reads the message of a frame.
func (f Frame) Decode(m proto.Message) error {
	return eris.Wrapf(proto.Unmarshal(f.Body, m), "frame of kind %d", f.Kind)
}

// Message writes m as a frame of kind k.
func (w *Writer) Message(k Kind, m proto.Message) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	b := append(w.buffer[:0], make([]byte, headBytes)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return eris.Wrapf(err, "frame of kind %d", k)
	}
	return w.flush(k, b)
}

// Bytes writes p as a frame of kind k.
func (w *Writer) Bytes(k Kind, p []byte) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	b := append(w.buffer[:0], make([]byte, headBytes)...)
	return w.flush(k, append(b, p...))
}

func (w *Writer) flush(k Kind, b []byte) error {
	n := len(b) - headBytes
	if n > MaxFrameBytes {
		return ErrTooLong
	}
	b[0] = byte(k)
	binary.BigEndian.PutUint32(b[1:], uint32(n))
	if cap(b) <= 2*ChunkBytes {
		w.buffer = b
	}
	_, err := w.sink.Write(b)
	return err
}

func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
