// Package advisor reads what the response of an upstream says about the upstream itself: that
// it leaves, or that it wants a pause.
package advisor
