package packer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// plainBytes is up to which length a body stays plain, so that short ones
	// can be read by people.
	plainBytes = 512

	// MaxBytes bounds a body once it is unpacked.
	MaxBytes = 16 << 20
)

// gzipMagic begins every compressed body, and no JSON.
var gzipMagic = []byte{0x1f, 0x8b}

// ErrTooLong reports a body that unpacks to more than MaxBytes.
var ErrTooLong = eris.New("body too long once unpacked")

// writers holds gzip writers: each takes most of a megabyte.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// Pack returns the body that stands for v.
func Pack(v any) ([]byte, error) {
	plain, err := json.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "pack")
	}
	if len(plain) <= plainBytes {
		return plain, nil
	}
	var b bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	if _, err := w.Write(plain); err != nil {
		return nil, eris.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "pack")
	}
	return b.Bytes(), nil
}

// Unpack reads a body into v. Bodies that were never compressed are read too.
func Unpack(body []byte, v any) error {
	plain, err := Plain(body)
	if err != nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(plain, v), "unpack")
}

// Plain returns the JSON of a body.
func Plain(body []byte) ([]byte, error) {
	if !bytes.HasPrefix(body, gzipMagic) {
		return body, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	plain, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	if len(plain) > MaxBytes {
		return nil, ErrTooLong
	}
	return plain, nil
}
