// Package cataloger keeps what is known of the upstreams: which incarnations
// there are, where, how warm, which are leaving, and which failure domains are
// evacuated. Readers see immutable snapshots; a change is in the next one.
package cataloger
