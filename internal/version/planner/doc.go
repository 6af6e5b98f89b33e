// Package planner computes which share of each origin's traffic is routed to which
// site. It performs no I/O: it takes settings, measurements and the time, and returns a
// plan or the reasons for keeping the current one.
//
// While a new plan propagates, some daemons route by the previous plan and some by the
// new one. Until all daemons have acknowledged the new plan, the planner counts every
// site at the larger of its two shares, so that any mix of the two plans keeps every
// site within its limit and every move within its cap.
package planner
