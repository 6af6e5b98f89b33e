// Package guarder watches the bytes of callers' connections for what the HTTP
// server of the standard library settles silently: heads with both a length and
// chunks, heads refused before any handler sees them, and heads that come too
// slowly. It makes such refusals say "not run" and counts them.
package guarder
