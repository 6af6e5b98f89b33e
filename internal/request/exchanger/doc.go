// Package exchanger defines a request in transit and its outcome. Entries, links and owners
// share these types, so a request that runs locally and one that runs across a link look the
// same.
package exchanger
