// Package logger sets up logrus for a process and sends the logs of go-zero
// through it.
package logger
