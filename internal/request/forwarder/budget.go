package forwarder

import (
	"sync"

	"github.com/gullvale/gullvale/internal/version/resolver"
)

// initialTokens is how many retries a service may have before any request has earned one, so
// that a service with few requests is not refused its first retry. It is also the maximum.
const initialTokens = 10

type (
	// budgets limits the retries of each service to a ratio of its first attempts, so that a
	// failing upstream does not get more load because it fails. The zero value is ready to
	// use.
	budgets struct {
		services sync.Map
	}

	// budget is the token bucket of one service.
	budget struct {
		lock        sync.Mutex
		tokens      float64
		initialised bool
	}
)

func (b *budgets) of(s resolver.ServiceName) *budget {
	v, ok := b.services.Load(s)
	if !ok {
		v, _ = b.services.LoadOrStore(s, &budget{})
	}
	return v.(*budget)
}

// earn adds the retry tokens earned by a first attempt.
func (b *budget) earn(ratio float64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.initialise()
	b.tokens = min(b.tokens+ratio, initialTokens)
}

// spend takes one retry token, and reports false if none is left.
func (b *budget) spend() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.initialise()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *budget) initialise() {
	if !b.initialised {
		b.initialised = true
		b.tokens = initialTokens
	}
}
