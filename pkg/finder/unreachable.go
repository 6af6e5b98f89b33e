package finder

import (
	"errors"
	"net"
	"sync"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// avoidFor is how long an address that was not reached is asked only when there is
// no other. One request at a time finds out whether it is back.
const avoidFor = 3 * timekeeper.Second

// avoided is the addresses that were not reached lately. The zero value is ready.
type avoided struct {
	lock  sync.Mutex
	until map[string]timekeeper.Millis
}

// note takes in how a request to an address ended.
func (a *avoided) note(address string, err error, now timekeeper.Millis) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if !isDial(err) {
		delete(a.until, address)
		return
	}
	if a.until == nil {
		a.until = map[string]timekeeper.Millis{}
	}
	a.until[address] = now + avoidFor
}

// take tells whether an address is to be avoided. Once its time is over the first
// who asks may try it.
func (a *avoided) take(address string, now timekeeper.Millis) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	until, ok := a.until[address]
	if !ok {
		return false
	}
	if now < until {
		return true
	}
	a.until[address] = now + avoidFor
	return false
}

// has tells whether an address was not reached lately.
func (a *avoided) has(address string, now timekeeper.Millis) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return now < a.until[address]
}

// order returns addresses with those that are avoided last.
func (a *avoided) order(addresses []string, now timekeeper.Millis) []string {
	var first, last []string
	for _, x := range addresses {
		if a.has(x, now) {
			last = append(last, x)
			continue
		}
		first = append(first, x)
	}
	return append(first, last...)
}

// isDial tells whether a connection was not made.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
