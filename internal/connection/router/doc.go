// Package router serves routes through go-zero's rest with everything switched
// off that decides or buffers on its own: its time-out, breaker, shedder, body
// limit and decompression have no place on a path that streams.
package router
