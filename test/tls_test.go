package integration_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/standin/signer"
)

// TestEncryptedLinks runs a fleet whose links are under TLS, changes its keys and
// authority under load, and has a daemon of another authority try to join.
func TestEncryptedLinks(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	text, upstreams := startTwoUpstreams(t)
	ours, next := signer.New(), signer.New()
	later := time.Now().Add(time.Hour)
	var dirs []string
	var all []*daemon
	options := func(i int, by *signer.Authority, trust ...*signer.Authority) daemonOptions {
		dirs = append(dirs, t.TempDir())
		f := by.Files(dirs[i], later, trust...)
		return daemonOptions{name: fmt.Sprint("erie-", i), region: "erie", domain: "a", platform: address,
			extraSettings: fmt.Sprintf("LinkTLS.Certificate = %q\nLinkTLS.Key = %q\nLinkTLS.Authority = %q\n", f.Certificate, f.Key, f.Authority)}
	}
	for i := range 3 {
		all = append(all, startDaemon(t, options(i, ours, ours)))
	}
	all[0].applySettings(3, text)
	eventually(t, "all slots are owned", func() bool { return totalSlots(all...) == 12 })
	x := startTraffic(t, 60, all...)
	x.waitProgress()
	stranger := startDaemon(t, options(3, next, ours, next))
	for i := range all {
		ours.Files(dirs[i], later, ours, next)
	}
	eventually(t, "both authorities are trusted, and the fourth is in", func() bool {
		return stranger.status().Valid && stranger.status().Members == 4
	})
	for i := range all {
		next.Files(dirs[i], later, next)
	}
	x.waitProgress()
	left := startDaemon(t, options(4, ours, ours, next))
	left.waitReady() // settings come from the platform
	x.waitProgress()
	is.Equal(left.status().Valid, false)
	is.Equal(all[0].status().Members, 4)
	a := x.stopAndVerify(upstreams...)
	is.Equal(a.Unknown, uint64(0))
}
