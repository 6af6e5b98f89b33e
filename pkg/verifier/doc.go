// Package verifier rejects what net/http takes for a response and is none in HTTP/1.1. Such bytes prove
// neither that a request ran nor that it did not.
package verifier
