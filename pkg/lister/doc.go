// Package lister reads the platform's list of live and leaving VMs. The list lags
// behind the actual state, so it is only used in addition to other sources: a VM
// listed as leaving is leaving, but one listed as live may be gone.
package lister
