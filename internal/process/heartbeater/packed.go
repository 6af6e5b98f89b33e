package heartbeater

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// maxTableBytes bounds a table that is unpacked: some ten thousand members.
	maxTableBytes = 1 << 20

	// minPackedRows is the number of rows from which they are packed.
	minPackedRows = 8

	// packedLifetime is how long a packed table is sent again. The ages in it are too low by as
	// much.
	packedLifetime = 250 * timekeeper.Millis(1)
)

// packedTable holds the rows that were packed last. At a start, each member of the region asks for
// the same ones.
type packedTable struct {
	since, version uint64
	packedAt       timekeeper.Millis
	rows           []byte
}

// setRows sets the rows of a reply to a heartbeat: those that changed since a version, or all for
// version 0. Many rows are packed if the receiver reads that. The caller must hold the lock.
func (b *Heartbeater) setRows(reply, m *Beat, since uint64, rows func() []*Row) {
	now := b.Clock.Now()
	p := &b.packed
	known := p.rows != nil && p.since == since && p.version == b.table.version && now-p.packedAt < packedLifetime
	if known && m.Unpacks {
		reply.PackedRows = p.rows
		return
	}
	reply.Rows = rows()
	if !m.Unpacks || b.WholeTables || len(reply.Rows) < minPackedRows {
		return
	}
	packed, err := packRows(reply.Rows)
	if err != nil {
		return
	}
	*p = packedTable{since, b.table.version, now, packed}
	reply.Rows, reply.PackedRows = nil, packed
}

// unpackTable puts the packed rows of a heartbeat among its others. One whose rows can't be read
// tells nothing of the table.
func unpackTable(m *Beat) {
	if len(m.PackedRows) == 0 {
		return
	}
	rows, err := unpackRows(m.PackedRows)
	if err != nil {
		m.Full, m.Changed = false, false
		return
	}
	m.Rows = append(m.Rows, rows...)
}

func packRows(rows []*Row) ([]byte, error) {
	body, err := proto.Marshal(&Beat{Rows: rows})
	if err != nil {
		return nil, eris.Wrap(err, "pack members")
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "pack members")
	}
	if _, err := w.Write(body); err != nil {
		return nil, eris.Wrap(err, "pack members")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "pack members")
	}
	return packed.Bytes(), nil
}

func unpackRows(packed []byte) ([]*Row, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	body, err := io.ReadAll(io.LimitReader(r, maxTableBytes))
	if err != nil {
		return nil, eris.Wrap(err, "unpack members")
	}
	var m Beat
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, eris.Wrap(err, "unpack members")
	}
	return m.Rows, nil
}
