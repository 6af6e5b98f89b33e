package leader

import (
	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/pkg/storer"
)

// track records a member's link and sends it the objects it lacks.
func (l *Leader) track(s *linker.Session, h *framer.Heartbeat) {
	has := storer.RevisionAt(storer.Era(h.GetEra()), h.Revision)
	l.lock.Lock()
	c := l.cursors[s]
	if c == nil {
		c = &cursor{sent: has, sentAt: l.Clock.Now()}
		l.cursors[s] = c
	}
	l.lock.Unlock()
	c.lock.Lock()
	if h.Era == nil {
		// The member knows no eras: it states the number of the revision only.
		has = storer.RevisionAt(c.sent.Era(), h.Revision)
	}
	if has < c.sent && l.Clock.Now()-c.sentAt > resendAfter {
		c.sent = has
	}
	c.lock.Unlock()
	l.send(s, c)
}

// Relay sends new objects to all members.
func (l *Leader) Relay() {
	l.lock.Lock()
	all := make(map[*linker.Session]*cursor, len(l.cursors))
	for s, c := range l.cursors {
		all[s] = c
	}
	l.lock.Unlock()
	for s, c := range all {
		l.send(s, c)
	}
}

func (l *Leader) send(s *linker.Session, c *cursor) {
	c.lock.Lock()
	defer c.lock.Unlock()
	b := l.Replica.Since(c.sent)
	if b.Revision <= c.sent {
		return
	}
	if SendObjects(s, b) != nil {
		s.Close()
		return
	}
	c.sent = b.Revision
	c.sentAt = l.Clock.Now()
}

// SendObjects sends a batch over a link, split into frames whose bodies total at most
// storer.MaxObjectBytes unless a single object is larger.
func SendObjects(s *linker.Session, b storer.Batch) error {
	m := &framer.Objects{}
	size := 0
	for _, o := range b.Objects {
		if size > 0 && size+len(o.Body) > storer.MaxObjectBytes {
			if err := s.Send(framer.KindObjects, m); err != nil {
				return err
			}
			m = &framer.Objects{}
			size = 0
		}
		size += len(o.Body)
		m.Objects = append(m.Objects, &framer.Object{
			Name: o.Name, Revision: o.Revision.Number(), Era: uint64(o.Revision.Era()), Body: o.Body,
		})
	}
	// Only the last frame carries the revision up to which the batch is complete.
	m.Revision, m.Era = b.Revision.Number(), uint64(b.Revision.Era())
	return s.Send(framer.KindObjects, m)
}

// ReadObjects decodes a frame sent by SendObjects.
func ReadObjects(f framer.Frame) (storer.Batch, error) {
	var m framer.Objects
	if err := f.Decode(&m); err != nil {
		return storer.Batch{}, err
	}
	b := storer.Batch{Revision: storer.RevisionAt(storer.Era(m.Era), m.Revision)}
	for _, o := range m.Objects {
		r := storer.RevisionAt(storer.Era(o.Era), o.Revision)
		b.Objects = append(b.Objects, storer.Object{Name: o.Name, Revision: r, Body: o.Body})
	}
	return b, nil
}
