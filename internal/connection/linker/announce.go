package linker

import (
	"golang.org/x/time/rate"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// announceWindow is how long a daemon of another site receives announcements
	// after its last request for an upstream owned here.
	announceWindow = 60 * timekeeper.Second

	// announcementBytes is the approximate size of one announcement on the network.
	// announceBytesPerSecond and announceBurstBytes limit all announcements together.
	// Free slots carried by the End frame of a request do not count.
	announcementBytes      = 48
	announceBytesPerSecond = 768
	announceBurstBytes     = 4 << 10

	// minChangeDivisor suppresses announcements of small changes: those of at most
	// slots/minChangeDivisor.
	minChangeDivisor = 8
)

// AnnounceFreeSlots sends the free slots of a pool to the daemons that send requests to it
// and whose last known value is outdated: the daemons of its site, and others that sent
// requests within announceWindow. It reports false if the rate limit was reached before
// all were notified; the caller must then call it again later.
func (m *Manager) AnnounceFreeSlots(k pooler.Key, free, slots int) bool {
	since := m.Clock.Now() - announceWindow
	for _, s := range m.AcceptedSessions() {
		if s.remote.Site != k.Site && !s.receivedDirectSince(since) || s.announcementCurrent(k, free, slots) {
			continue
		}
		if !m.allowAnnouncement() {
			return false
		}
		m.SendFreeSlots(s, k, free, slots)
	}
	return true
}

func (m *Manager) allowAnnouncement() bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.announceLimiter == nil {
		m.announceLimiter = rate.NewLimiter(announceBytesPerSecond, announceBurstBytes)
	}
	return m.announceLimiter.AllowN(m.Clock.Now().Time(), announcementBytes)
}

// SendFreeSlots sends the free slots of a pool over one session.
func (m *Manager) SendFreeSlots(s *Session, k pooler.Key, free, slots int) {
	s.recordAnnounced(k, free)
	m.sendOrClose(s, framer.KindFree, &framer.Free{
		Service: string(k.Service),
		Site:    string(k.Site),
		Free:    int32(free),
		Slots:   uint32(slots),
	})
}

// recordAnnounced stores the number of free slots last sent to the remote end.
func (s *Session) recordAnnounced(k pooler.Key, free int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.announcedFree == nil {
		s.announcedFree = map[pooler.Key]int{}
	}
	s.announcedFree[k] = free
}

// announcementCurrent reports whether the value last sent to the remote end is close
// enough: it agrees on whether any slot is free and differs by at most an eighth of slots.
func (s *Session) announcementCurrent(k pooler.Key, free, slots int) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	announcedFree, ok := s.announcedFree[k]
	change := max(free-announcedFree, announcedFree-free)
	return ok && (announcedFree > 0) == (free > 0) && change <= max(slots/minChangeDivisor, 1)
}
