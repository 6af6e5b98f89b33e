// Package demonstrator runs a whole deployment in one process on loopback: the
// stand-in platform, upstreams, daemons and callers, over real sockets and
// protocols, with the latencies of the deployment's links. It performs an
// operator's changes under load and checks every guarantee at the end.
package demonstrator
