// Package encrypter puts links under TLS. Both ends show a certificate that an
// authority of the deployment signed; who has none can neither open a link nor be
// taken for a daemon. Files are read again when they change, so that keys and
// authorities are replaced without a restart: links that stand keep theirs, new ones
// use what is there now.
package encrypter
