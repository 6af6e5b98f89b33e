// Package logger sets up logrus for a process and routes the logs of go-zero through
// it.
package logger
