// Package router serves HTTP routes through go-zero's rest package, with the middleware
// disabled that rejects or buffers requests on its own: timeout, circuit breaker, load
// shedder, body limit and decompression are unsuitable for streaming.
package router
