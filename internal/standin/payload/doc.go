// Package payload makes the answers of the stand-in upstreams from the token of
// the request, so that a caller can check every byte of its answer by itself.
package payload
