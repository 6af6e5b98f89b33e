package resolver

import (
	"fmt"

	"github.com/gullvale/gullvale/internal/version/parser"
)

// check returns the problems that concern the tree as a whole.
func (t Tree) check(positions map[string]parser.Position) parser.Problems {
	var out parser.Problems
	report := func(p Path, k Key, text string, args ...any) {
		name := p.String() + " " + string(k)
		out = append(out, parser.Problem{Position: positions[name], Path: name, Text: fmt.Sprintf(text, args...)})
	}
	regions := t.regionsWithUpstreams()
	owners := map[string]Path{}
	for _, p := range t.Paths() {
		t.checkShift(p, regions, report)
		t.checkDrainUntil(p, report)
		t.checkUpstreams(p, owners, report)
	}
	t.checkHosts(report)
	return out
}

type reporter func(p Path, k Key, text string, args ...any)

func (t Tree) regionsWithUpstreams() map[Path]bool {
	m := map[Path]bool{}
	for p, n := range t.nodes {
		if n[KeyUpstreams] != "" {
			m[Path{Region: p.Region, Service: p.Service}] = true
		}
	}
	return m
}

func (t Tree) checkShift(p Path, regions map[Path]bool, report reporter) {
	n := t.nodes[p]
	to, has := n[KeyShiftTo]
	if !has {
		for _, k := range []Key{KeyShiftShare, KeyShiftCap} {
			if _, ok := n[k]; ok {
				report(p, k, "needs %s at the same path", KeyShiftTo)
			}
		}
		return
	}
	for _, k := range []Key{KeyShiftShare, KeyShiftCap} {
		if _, ok := n[k]; !ok {
			report(p, KeyShiftTo, "needs %s at the same path", k)
		}
	}
	if string(to) == p.Region {
		report(p, KeyShiftTo, "must differ from the region itself")
		return
	}
	if !regions[Path{Region: string(to), Service: p.Service}] {
		report(p, KeyShiftTo, "service %s has no upstreams in region %q", p.Service, to)
	}
}

func (t Tree) checkDrainUntil(p Path, report reporter) {
	n := t.nodes[p]
	if _, ok := n[KeyDrainUntil]; ok && n[KeyDrain] != "true" {
		report(p, KeyDrainUntil, "needs %s = true at the same path", KeyDrain)
	}
}

// checkUpstreams rejects an address that is listed for two services or sites, because
// its slots would be counted twice.
func (t Tree) checkUpstreams(p Path, owners map[string]Path, report reporter) {
	for _, a := range t.nodes[p][KeyUpstreams].list() {
		if q, ok := owners[a]; ok {
			report(p, KeyUpstreams, "%s is already an upstream of %s", a, q)
			continue
		}
		owners[a] = p
	}
}

func (t Tree) checkHosts(report reporter) {
	owners := map[string]Path{}
	for _, p := range t.Paths() {
		for _, h := range t.nodes[p][KeyHosts].list() {
			if q, ok := owners[h]; ok {
				report(p, KeyHosts, "host %q already belongs to %s", h, q)
				continue
			}
			owners[h] = p
		}
	}
}
