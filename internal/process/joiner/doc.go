// Package joiner keeps a daemon a member of its region: it finds the lead, beats
// to it, takes the lead when nobody has it, and knows by its own clock whether
// the daemon may still act as a member.
package joiner
