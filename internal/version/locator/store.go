package locator

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
)

const (
	objectPrefix = "Blocks/"

	// partBlocks is the number of blocks in one stored part. Compressed, such a part is
	// far smaller than storer.MaxObjectBytes.
	partBlocks = 40000

	// partsPerList bounds the size of one list response from the store.
	partsPerList = 4

	// maxPartBytes bounds the decompressed size of a part.
	maxPartBytes = 64 << 20
)

// Read parses a table. Each line holds a block and its failure domain, such as
// "10.1.0.0/16 erie/a". Empty lines and lines that begin with # are ignored.
func Read(r io.Reader) (*Table, error) {
	var b Builder
	if err := b.readText(r); err != nil {
		return nil, err
	}
	return b.Table(), nil
}

func (b *Builder) readText(r io.Reader) error {
	s := bufio.NewScanner(r)
	line := 0
	for s.Scan() {
		line++
		text := strings.TrimSpace(s.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		if err := b.addLine(text); err != nil {
			return eris.Wrapf(err, "line %d", line)
		}
	}
	return s.Err()
}

func (b *Builder) addLine(text string) error {
	block, site, ok := strings.Cut(text, " ")
	if !ok {
		return eris.Errorf("%q is not a block followed by a failure domain", text)
	}
	p, err := netip.ParsePrefix(block)
	if err != nil {
		return eris.Errorf("%q is not an address block in CIDR notation", block)
	}
	return b.Add(p, registrar.Site(strings.TrimSpace(site)))
}

// Save stores the text of a table and returns the number of its lines. The name must be
// unused, except that an interrupted Save of the same text may be continued under it:
// the parts already stored are kept. If every part was already stored, Save returns
// storer.ErrConflict.
func Save(ctx context.Context, c *storer.Client, name string, text io.Reader) (int, error) {
	s := bufio.NewScanner(text)
	blocks := 0
	// conflict is the conflict error for the last part if that part was already stored.
	var conflict error
	for part := 0; ; part++ {
		body, n, err := nextPart(s)
		if err != nil {
			return blocks, err
		}
		if n == 0 {
			return blocks, conflict
		}
		conflict, err = savePart(ctx, c, fmt.Sprintf("%s%s/%06d", objectPrefix, name, part), body)
		if err != nil {
			return blocks, eris.Wrapf(err, "table %s part %d", name, part)
		}
		blocks += n
	}
}

// savePart stores a part. If the same part is already stored, err is nil and conflict is
// the error of the store. When a create conflicts or its outcome is unknown, savePart
// reads the object back to decide.
func savePart(ctx context.Context, c *storer.Client, name string, body []byte) (conflict, err error) {
	_, err = c.Create(ctx, name, body)
	if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUnknown) {
		return nil, err
	}
	o, readErr := c.Get(ctx, name)
	if readErr != nil || !bytes.Equal(o.Body, body) {
		return nil, err
	}
	if errors.Is(err, storer.ErrUnknown) {
		return nil, nil
	}
	return err, nil
}

func nextPart(s *bufio.Scanner) ([]byte, int, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	n := 0
	for n < partBlocks && s.Scan() {
		if _, err := fmt.Fprintln(z, s.Text()); err != nil {
			return nil, n, err
		}
		n++
	}
	if err := z.Close(); err != nil {
		return nil, n, err
	}
	return b.Bytes(), n, s.Err()
}

// Load reads a table from the store. It returns storer.ErrNotFound if no parts are
// stored under the name.
func Load(ctx context.Context, c *storer.Client, name string) (*Table, error) {
	var b Builder
	after := ""
	for {
		batch, err := c.List(ctx, objectPrefix+name+"/", after, partsPerList)
		if err != nil {
			return nil, err
		}
		for _, o := range batch.Objects {
			if err := b.readPart(o.Body); err != nil {
				return nil, eris.Wrapf(err, "object %s", o.Name)
			}
			after = o.Name
		}
		if len(batch.Objects) < partsPerList {
			break
		}
	}
	if len(b.table.origin) == 0 {
		return nil, eris.Wrapf(storer.ErrNotFound, "table %s", name)
	}
	return b.Table(), nil
}

func (b *Builder) readPart(body []byte) error {
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return err
	}
	return b.readText(io.LimitReader(z, maxPartBytes))
}
