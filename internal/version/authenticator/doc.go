// Package authenticator holds the organisations of one accepted configuration and tells
// which of them sends a request, by the API key that the request carries. A Directory never
// changes; a new version of the configuration is a new Directory. It holds digests of keys
// and no key.
package authenticator
