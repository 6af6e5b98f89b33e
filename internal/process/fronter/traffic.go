package fronter

import (
	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
)

// The names of the counters of bytes by service, purpose (class) and distance (kind).
const (
	BytesSent     = "bytes_sent"
	BytesReceived = "bytes_received"
)

// upstreamPurpose is that of requests and answers of upstreams.
const upstreamPurpose = "upstream"

// counter returns what counts the bytes to and from an upstream, so that an operator sees
// what crosses the bounds of failure domains. An exchange takes 45 µs with it and 43 µs
// without (BenchmarkExchange, four runs each, which differ by 8 and 13 µs).
func (f *Fronter) counter(u *cataloger.Upstream) sender.Counter {
	l := measurer.Labels{
		Service: string(u.Service),
		Class:   upstreamPurpose,
		Kind:    string(f.options.Site.Distance(u.Site)),
	}
	send, receive := f.Meter.Adder(BytesSent, l), f.Meter.Adder(BytesReceived, l)
	return func(sent, received int64) {
		send(sent)
		receive(received)
	}
}
