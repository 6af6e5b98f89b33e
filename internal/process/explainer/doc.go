// Package explainer derives from the logs of all VMs how a request ended and why: the log
// lines about it, the configuration and the state of the upstream as known at the VM, how
// stale both were compared with other VMs, and the outcomes of other requests at the same
// upstream around that time.
package explainer
