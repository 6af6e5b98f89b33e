// Package explainer finds in the logs of all VMs how a request ended and what had
// decided it: the lines of its tries, the configuration and the state of the upstream
// as the VM knew them, how far both were behind what other VMs knew, and what became
// of other requests at the same upstream at that time.
package explainer
