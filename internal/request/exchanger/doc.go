// Package exchanger defines one request on its way and the outcome that it
// ends with. Entries, links and owners all speak in these terms, so a request
// that is run here and one that is run across a link look the same.
package exchanger
