// Package delayer adds the delay of a long line to a connection, the same in
// each direction, in real time and in order.
package delayer
