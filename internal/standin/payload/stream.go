package payload

import (
	"bytes"
	"encoding/binary"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Query parameters of a request to a stand-in upstream.
const (
	// ParamToken identifies the request; ParamBytes is the length of the response.
	ParamToken = "Token"
	ParamBytes = "Bytes"

	seedBytes = 32
)

// Stream generates the response to a token. Equal arguments of New give equal bytes.
type Stream struct {
	source    *rand.ChaCha8
	remaining int64
}

// New returns the response of the given length to a token and a request body.
func New(token string, body []byte, length int64) *Stream {
	var seed [seedBytes]byte
	binary.LittleEndian.PutUint64(seed[0:], xxhash.Sum64String(token))
	binary.LittleEndian.PutUint64(seed[8:], xxhash.Sum64(body))
	return &Stream{source: rand.NewChaCha8(seed), remaining: length}
}

// Read implements io.Reader.
func (s *Stream) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > s.remaining {
		p = p[:s.remaining]
	}
	n, _ := s.source.Read(p)
	s.remaining -= int64(n)
	return n, nil
}

// Verify reads a response, compares it with want, and returns the number of
// bytes that matched.
func Verify(r io.Reader, want *Stream) (int64, error) {
	var total int64
	received := make([]byte, 32<<10)
	expected := make([]byte, len(received))
	for {
		n, err := r.Read(received)
		if n > 0 {
			if m, _ := io.ReadFull(want, expected[:n]); m < n || !bytes.Equal(received[:n], expected[:n]) {
				return total, eris.Errorf("response content differs after byte %d", total)
			}
			total += int64(n)
		}
		if err == io.EOF {
			if want.remaining > 0 {
				return total, eris.Errorf("response is %d bytes too short", want.remaining)
			}
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}
