// Package pipeliner is an HTTP/1.1 server for callers that pipeline requests.
// Requests that may be retried and have no body are handled concurrently, and their
// responses are sent in the order of the requests. Any other request is handled alone:
// it starts after all earlier responses are written, and later requests wait for it.
//
// Heads and bodies are parsed by net/http. There are two differences from its server.
// While requests are handled, the server reads ahead up to the size of its read buffer,
// so that it notices a caller that disconnects after it has sent further requests. And a
// response closes its connection only if no later request has been started.
package pipeliner
