// Package switcher names the mechanisms that can be switched off one by one, for
// experiments that measure what each of them is worth. What guards a promise to
// callers or operators has no switch.
package switcher
