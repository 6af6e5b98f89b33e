// Package tracker keeps what one daemon itself knows of each upstream: its
// connections, the requests that it has there, the load that the upstream last
// reported, how its latest requests ended, and the rate allowed while it is cold.
package tracker
