// Package delayer adds the latency of a long-distance link to a connection, the
// same in each direction, in real time and in order.
package delayer
