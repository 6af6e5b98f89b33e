package forwarder

import (
	"sync"

	"github.com/gullvale/gullvale/internal/version/resolver"
)

// reserve is how many retries a service may have before any request earned
// one, so that a quiet service is not refused its first.
const initialTokens = 10

type (
	// budgets bounds retries to a part of the first tries of each service, so
	// that a failing upstream is not hit harder for failing. The zero value is
	// ready.
	budgets struct {
		services sync.Map
	}

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

// earn notes a first try.
func (b *budget) earn(part float64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.initialise()
	b.tokens = min(b.tokens+part, initialTokens)
}

// spend takes a retry, and reports false when there is none left.
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
