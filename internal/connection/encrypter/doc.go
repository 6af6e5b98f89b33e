// Package encrypter secures links with mutual TLS. Both ends present a certificate signed
// by an authority of the deployment; without one, a process can neither open a link nor
// pose as a daemon. The files are reloaded when they change, so that keys and authorities
// can be replaced without a restart: existing links keep the old credentials, new links
// use the current ones.
package encrypter
