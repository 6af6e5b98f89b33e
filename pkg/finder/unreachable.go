package finder

import (
	"errors"
	"net"
	"sync"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// skipPeriod is how long an unreachable address is used only if there is no other.
// After that, one request per period probes whether it is reachable again.
const skipPeriod = 3 * timekeeper.Second

// dialFailures holds the addresses that were unreachable recently. The zero value
// is ready to use.
type dialFailures struct {
	lock  sync.Mutex
	until map[string]timekeeper.Millis
}

// record updates the set with the result of a request to address.
func (d *dialFailures) record(address string, err error, now timekeeper.Millis) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if !isDialError(err) {
		delete(d.until, address)
		return
	}
	if d.until == nil {
		d.until = map[string]timekeeper.Millis{}
	}
	d.until[address] = now + skipPeriod
}

// shouldSkip reports whether address is to be skipped. Once its skip period has
// expired, it returns false for one call and starts another period.
func (d *dialFailures) shouldSkip(address string, now timekeeper.Millis) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	until, ok := d.until[address]
	if !ok {
		return false
	}
	if now < until {
		return true
	}
	d.until[address] = now + skipPeriod
	return false
}

// contains reports whether address was unreachable recently.
func (d *dialFailures) contains(address string, now timekeeper.Millis) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return now < d.until[address]
}

// reachableFirst returns addresses in order, with those in the set moved to the end.
func (d *dialFailures) reachableFirst(addresses []string, now timekeeper.Millis) []string {
	var first, last []string
	for _, x := range addresses {
		if d.contains(x, now) {
			last = append(last, x)
			continue
		}
		first = append(first, x)
	}
	return append(first, last...)
}

// isDialError reports whether err is a failure to connect.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
