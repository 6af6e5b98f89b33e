package heartbeater_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// TestHeartbeatsStateTheConfigurationInForce guards against a member that stays behind unnoticed: in
// each direction between leader and member, and between regions, somebody must hear of a later
// version. Members of versions without the field state 0.
func TestHeartbeatsStateTheConfigurationInForce(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	versions := map[string]uint64{"m00": 7, "m01": 0, "m02": 9, "m03": 8}
	heard := map[string]map[string]uint64{}
	for name, site := range map[string]string{"m00": "east/a", "m01": "east/a", "m02": "east/b", "m03": "west/a"} {
		m := n.add(name, registrar.Site(site), "m00", "m03")
		m.self.ConfigVersion = versions[name]
		heard[name] = map[string]uint64{}
		m.OnMember = func(from heartbeater.Member) { heard[name][from.Name] = from.ConfigVersion }
	}
	n.rounds(8)
	for name := range versions {
		is.True(len(heard[name]) > 0)
		for from, v := range heard[name] {
			is.Equal(v, versions[from])
		}
	}
	for _, name := range []string{"m00", "m01", "m03"} {
		latest := uint64(0)
		for _, v := range heard[name] {
			latest = max(latest, v)
		}
		is.True(latest > versions[name])
	}
}
