// Package authenticator holds the organisations of one accepted configuration and
// identifies the one that sends a request by the API key in the request. A Directory is
// immutable; a new version of the configuration is a new Directory. It holds digests of
// keys, never the keys themselves.
package authenticator
