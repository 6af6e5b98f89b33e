// Package deployer starts small deployments for the cases of the review: daemons as separate
// processes, and stand-ins for the store, the servers and the clients in this process. Everything
// listens on loopback addresses.
package deployer
