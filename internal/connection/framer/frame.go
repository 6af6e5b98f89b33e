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
	// ProtocolVersion is the protocol version sent in Hello.
	ProtocolVersion = 2

	// MaxFrameBytes is the largest length of a frame without its header. It has room
	// for a platform object and its envelope.
	MaxFrameBytes = 1<<20 + 1<<16

	// ChunkBytes is the usual size of a chunk of a body.
	ChunkBytes = 32 << 10

	// headerBytes is the size of a header: a byte for the kind and the length in four
	// bytes, big-endian.
	headerBytes = 5

	// readBufferBytes is the size of the read buffer of a stream. Longer frames bypass
	// it.
	readBufferBytes = 4 << 10
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

// ErrTooLong is returned for a frame longer than MaxFrameBytes.
var ErrTooLong = eris.New("frame too long")

type (
	// Kind identifies the content of a frame.
	Kind uint8

	// Frame is a frame read from a stream. Body is valid until the next read.
	Frame struct {
		Kind Kind
		Body []byte
	}

	// Reader reads frames. It is not safe for concurrent use.
	Reader struct {
		source *bufio.Reader
		buffer []byte
		header [headerBytes]byte
	}

	// Writer writes each frame with a single Write call. After an error of the sink it writes
	// nothing more, since what follows a partial frame would be read as the rest of it. It is
	// safe for concurrent use.
	Writer struct {
		lock   sync.Mutex
		sink   io.Writer
		buffer []byte
		failed error
	}
)

// NewReader returns a Reader that reads frames from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(r, readBufferBytes)}
}

// NewWriter returns a Writer that writes frames to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{sink: w}
}

// Read returns the next frame. It returns io.EOF at the end of the stream,
// io.ErrUnexpectedEOF for a truncated frame and ErrTooLong for one that is too long.
func (r *Reader) Read() (Frame, error) {
	if _, err := io.ReadFull(r.source, r.header[:]); err != nil {
		return Frame{}, err
	}
	n := int(binary.BigEndian.Uint32(r.header[1:]))
	if n > MaxFrameBytes {
		return Frame{}, ErrTooLong
	}
	if cap(r.buffer) < n {
		r.buffer = make([]byte, max(n, readBufferBytes))
	}
	b := r.buffer[:n]
	if _, err := io.ReadFull(r.source, b); err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	return Frame{Kind: Kind(r.header[0]), Body: b}, nil
}

// Decode unmarshals the body of a frame into m.
func (f Frame) Decode(m proto.Message) error {
	return eris.Wrapf(proto.Unmarshal(f.Body, m), "decode frame of kind %d", f.Kind)
}

// Message writes m as a frame of kind k.
func (w *Writer) Message(k Kind, m proto.Message) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	b := append(w.buffer[:0], make([]byte, headerBytes)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return eris.Wrapf(err, "encode frame of kind %d", k)
	}
	return w.writeFrame(k, b)
}

// Bytes writes p as a frame of kind k.
func (w *Writer) Bytes(k Kind, p []byte) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	b := append(w.buffer[:0], make([]byte, headerBytes)...)
	return w.writeFrame(k, append(b, p...))
}

// writeFrame fills in the header at the start of b and writes the frame.
func (w *Writer) writeFrame(k Kind, b []byte) error {
	n := len(b) - headerBytes
	switch {
	case w.failed != nil:
		return w.failed
	case n > MaxFrameBytes:
		return ErrTooLong
	}
	b[0] = byte(k)
	binary.BigEndian.PutUint32(b[1:], uint32(n))
	if cap(b) <= 2*ChunkBytes {
		w.buffer = b
	}
	_, w.failed = w.sink.Write(b)
	return w.failed
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
