// Package pipeliner serves HTTP/1.1 to callers that may send requests before the
// earlier ones of their connection are answered. Requests that may be repeated and
// have no body are handled side by side, and answers go out in the order of the
// requests. Any other request is handled alone: it begins when all before it are
// answered, and nothing behind it begins until it is.
//
// Heads and bodies are read by net/http. What differs from the server there is that
// a connection is read all the time, so that a caller that leaves is seen however
// much it has sent, and that an answer closes its connection only if no request
// behind it was begun.
package pipeliner
