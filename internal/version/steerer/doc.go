// Package steerer answers look-ups and routes requests from one immutable
// snapshot of settings, plan, rosters and client blocks. A snapshot is built
// when one of them changes and replaced whole, so readers share no lock.
package steerer
