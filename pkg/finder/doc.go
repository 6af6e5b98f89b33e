// Package finder is for callers: it asks the entries which of them to use, keeps
// the answer as long as it holds, and sends requests there.
//
// What became of a request is always one of three: answered, not run, unknown.
// Only a request that did not run, or an idempotent one, is sent again, to
// another entry, and within the caller's deadline. Every other request carries an
// Idempotency-Key that names the first entry as its home; when its answer is lost,
// it is safe to ask again with that key, through any entry.
package finder
