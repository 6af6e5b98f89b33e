// Package uploader is a stand-in caller that sends a long body in pieces, as over a narrow link, so
// that a server reads each piece on its own.
package uploader
