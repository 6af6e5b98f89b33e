// Package platform is a stand-in for the platform's object API. It keeps objects
// in memory, counts calls, and injects faults: outages, delays, and responses
// lost after the write took effect.
package platform
