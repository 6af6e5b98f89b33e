// Package switcher defines the mechanisms that can be switched off individually, for
// experiments that measure the benefit of each. Mechanisms that uphold a guarantee to
// callers or operators cannot be switched off.
package switcher
