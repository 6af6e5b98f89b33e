package linker

import (
	"golang.org/x/time/rate"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// subscribed is how long after a request for an upstream owned here its
	// sender is told of free slots.
	subscribed = 60 * timekeeper.Second

	// freeBytes is about what it costs to tell free slots once, and
	// announceBudget what all of it may cost, in bytes and bytes a second.
	// Answers carry the free slots too and cost nothing of it.
	freeBytes      = 48
	announceBudget = 768
	announceBurst  = 4 << 10

	// nearPart is the change of the free slots, as a part of all, that is not
	// worth telling.
	nearPart = 8
)

// Announce tells the free slots of a pool to those who hand requests to it and
// think otherwise: the daemons of its site, and others that did so lately. It
// reports false when some could not be told within the budget and have to be
// later.
func (m *Manager) Announce(k pooler.Key, free, slots int) bool {
	since := m.Clock.Now() - subscribed
	for _, s := range m.Sessions() {
		if s.remote.Site != k.Site && !s.usedSince(since) || s.knows(k, free, slots) {
			continue
		}
		if !m.mayAnnounce() {
			return false
		}
		m.Tell(s, k, free, slots)
	}
	return true
}

func (m *Manager) mayAnnounce() bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.announcements == nil {
		m.announcements = rate.NewLimiter(announceBudget, announceBurst)
	}
	return m.announcements.AllowN(m.Clock.Now().Time(), freeBytes)
}

// Tell tells one link the free slots of a pool.
func (m *Manager) Tell(s *Session, k pooler.Key, free, slots int) {
	s.noteTold(k, free)
	m.send(s, framer.KindFree, &framer.Free{
		Service: string(k.Service),
		Site:    string(k.Site),
		Free:    int32(free),
		Slots:   uint32(slots),
	})
}

// noteTold remembers what the other end was told.
func (s *Session) noteTold(k pooler.Key, free int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.told == nil {
		s.told = map[pooler.Key]int{}
	}
	s.told[k] = free
}

// knows tells whether the other end was told about as much: whether there are
// free slots at all, and how many to an eighth.
func (s *Session) knows(k pooler.Key, free, slots int) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	told, ok := s.told[k]
	change := max(free-told, told-free)
	return ok && (told > 0) == (free > 0) && change <= max(slots/nearPart, 1)
}
