// Package platform is a small stand-in for the platform's object API. It keeps
// objects in memory, counts each call, and fails on request: outages, slowness,
// and answers lost after the write took effect.
package platform
