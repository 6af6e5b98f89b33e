// Package joiner maintains a daemon's membership of its region. It finds the leader
// and sends heartbeats to it, acquires the leader's lease when nobody holds it, and
// determines by the local clock whether the daemon may still act as a member.
package joiner
