// Package lister reads the platform's list of live and leaving VMs. The list lags,
// so it only ever adds to what is known otherwise: a VM that it calls leaving
// leaves, but one that it calls live may be gone.
package lister
