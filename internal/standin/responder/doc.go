// Package responder holds faulty stand-in upstreams: one that responds before it has read a body
// and reads on, or sends responses again, one that resets the connection after a response, and one
// that sends bytes without end.
package responder
