package packer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/decoder"
)

const (
	// maxPlainBytes is the length up to which a body is not compressed, so that
	// short bodies stay readable.
	maxPlainBytes = 512

	// MaxBytes is the maximum length of a decompressed body.
	MaxBytes = 16 << 20
)

// gzipMagic is the prefix of every compressed body. No JSON text starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// ErrTooLong reports a body that decompresses to more than MaxBytes.
var ErrTooLong = eris.New("decompressed body too long")

// gzipWriters pools gzip writers, each of which takes most of a megabyte.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// Pack encodes v as a body.
func Pack(v any) ([]byte, error) {
	plain, err := json.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "pack")
	}
	if len(plain) <= maxPlainBytes {
		return plain, nil
	}
	var b bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&b)
	if _, err := w.Write(plain); err != nil {
		return nil, eris.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "pack")
	}
	return b.Bytes(), nil
}

// Unpack decodes a body, compressed or not, into v.
func Unpack(body []byte, v any) error {
	plain, err := Decompress(body)
	if err != nil {
		return err
	}
	return eris.Wrap(decoder.Decode(plain, v), "unpack")
}

// Decompress returns the JSON text of a body, decompressed if necessary. The result
// may share memory with body.
func Decompress(body []byte) ([]byte, error) {
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
