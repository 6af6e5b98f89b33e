package sender

import "slices"

// Trail records the connections over which the attempts of a request were sent. An upstream may send
// the response to one attempt again, and all attempts of a request have the same id: over another
// connection, that response can't be taken for the one to the next attempt. The zero value is empty.
// A nil Trail records nothing.
type Trail struct {
	connections []*conn
}

func (t *Trail) add(c *conn) {
	if t != nil {
		t.connections = append(t.connections, c)
	}
}

func (t *Trail) contains(c *conn) bool {
	return t != nil && slices.Contains(t.connections, c)
}
