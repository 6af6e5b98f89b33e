// Package estimator learns how long requests run at upstreams, by route and by whether the
// upstream knows the request's key, so that the time of a response can be estimated before a
// request is sent.
package estimator
