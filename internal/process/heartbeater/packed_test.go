package heartbeater_test

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
)

// startBytes returns the bytes of the tables that the leaders of a fleet send in its first rounds.
func startBytes(whole bool) (bytes int) {
	n := newNetwork()
	addFleet(n, tableFleet)
	for _, m := range n.members {
		m.WholeTables = whole
		send := m.Send
		m.Send = func(to string, d []byte) {
			var g heartbeater.Datagram
			if proto.Unmarshal(d, &g) == nil && (g.Beat.GetFull() || g.Beat.GetChanged()) {
				bytes += len(d)
			}
			send(to, d)
		}
	}
	n.rounds(12)
	return bytes
}

// TestStartSendsPackedTables guards against whole tables, uncompressed, for each member in each
// round of a start.
func TestStartSendsPackedTables(t *testing.T) {
	is := is.New(t)
	whole, packed := startBytes(true), startBytes(false)
	t.Logf("start of a fleet of %d: %d bytes with whole tables, %d otherwise", tableFleet, whole, packed)
	is.True(packed*2 < whole)
}

// TestTablesOfOlderMembersAreNotPacked plays members that do not read packed tables, as an older
// release: they get the rows, and all tables agree.
func TestTablesOfOlderMembersAreNotPacked(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	addFleet(n, 40)
	for _, m := range n.members {
		send := m.Send
		m.Send = func(to string, d []byte) {
			var g heartbeater.Datagram
			is.NoErr(proto.Unmarshal(d, &g))
			if b := g.Beat; b != nil {
				is.Equal(len(b.PackedRows), 0)
				b.Unpacks, b.Table, b.TableOf = false, 0, 0
			}
			body, err := proto.Marshal(&g)
			is.NoErr(err)
			send(to, body)
		}
	}
	n.rounds(14)
	is.True(tablesAgree(n))
}

// TestUnreadableTableIsDropped guards against members that count as dead since a table that was
// damaged on the way has no rows.
func TestUnreadableTableIsDropped(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	addFleet(n, 8)
	n.rounds(12)
	m := n.members["m04"]
	leader := n.leaders("east")[0]
	before := len(m.Alive())
	d, err := proto.Marshal(&heartbeater.Datagram{Beat: &heartbeater.Beat{
		From: &heartbeater.Row{Name: leader, Site: "east/a", Beats: leader}, Leading: true, Reply: true, Full: true, PackedRows: []byte("no table"),
	}})
	is.NoErr(err)
	m.Receive(leader, d)
	is.Equal(len(m.Alive()), before)
}
