// Package demonstrator runs a whole deployment in one process on loopback: the
// platform's stand-in, upstreams, daemons and callers, over real sockets and
// protocols, with the delays of the deployment's lines. It steers it under load
// as operators would and checks every promise at the end.
package demonstrator
