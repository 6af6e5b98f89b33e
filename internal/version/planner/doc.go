// Package planner decides which share of each origin's traffic goes to which
// site. It is pure: settings, measurements and time come in, a plan or the
// reason for keeping the present one comes out.
//
// While a new plan spreads, some daemons act on the last one and some on the
// new. The planner therefore counts every site at the larger of its two shares
// until all daemons have acknowledged, so any mix of the two keeps every site
// within its limit and every move within its cap.
package planner
