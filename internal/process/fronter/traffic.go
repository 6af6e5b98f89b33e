package fronter

import (
	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
)

// The names of the byte counters, labelled by service, purpose (class) and distance (kind).
const (
	BytesSent     = "bytes_sent"
	BytesReceived = "bytes_received"
)

// upstreamTraffic is the purpose label of requests to and responses from upstreams.
const upstreamTraffic = "upstream"

// byteCounter returns a counter of the bytes to and from an upstream, so that operators see
// the traffic between failure domains.
func (f *Fronter) byteCounter(u *cataloger.Upstream) sender.Counter {
	l := measurer.Labels{
		Service: string(u.Service),
		Class:   upstreamTraffic,
		Kind:    string(f.options.Site.Distance(u.Site)),
	}
	send, receive := f.Meter.Adder(BytesSent, l), f.Meter.Adder(BytesReceived, l)
	return func(sent, received int64) {
		send(sent)
		receive(received)
	}
}
