package packer_test

import (
	"bytes"
	"compress/gzip"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/packer"
)

func TestPackUnpack(t *testing.T) {
	for _, c := range []struct {
		name  string
		value string
		plain bool
	}{
		{"empty", "", true},
		{"short", "keg", true},
		{"long", strings.Repeat("erie/a keg-ledger ", 1000), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, err := packer.Pack(c.value)
			is.NoErr(err)
			is.Equal(b[0] == '"', c.plain)
			is.True(c.plain || len(b) < len(c.value)/10)
			var got string
			is.NoErr(packer.Unpack(b, &got))
			is.Equal(got, c.value)
		})
	}
}

func TestUnpackRejectsInvalidBodies(t *testing.T) {
	is := is.New(t)
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	_, err := w.Write(make([]byte, packer.MaxBytes+1))
	is.NoErr(err)
	is.NoErr(w.Close())
	var v any
	is.True(errors.Is(packer.Unpack(bomb.Bytes(), &v), packer.ErrTooLong))
	is.True(packer.Unpack(bomb.Bytes()[:bomb.Len()/2], &v) != nil)
	is.True(packer.Unpack([]byte{0x1f, 0x8b}, &v) != nil)
	is.True(packer.Unpack(nil, &v) != nil)
}

// FuzzUnpack checks that no input makes Decompress panic or decompress beyond MaxBytes.
func FuzzUnpack(f *testing.F) {
	long, err := packer.Pack(strings.Repeat("erie/a", 500))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(long)
	f.Add([]byte(`{"Region":"erie"}`))
	f.Add([]byte{0x1f, 0x8b, 8})
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := packer.Decompress(b)
		if err == nil && len(p) > packer.MaxBytes && !bytes.Equal(p, b) {
			t.Fatalf("decompressed to %d bytes, more than MaxBytes", len(p))
		}
	})
}
