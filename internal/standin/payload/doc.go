// Package payload generates the responses of the stand-in upstreams from the
// token and body of the request, so that a caller can verify every byte.
package payload
