package integration_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/standin/signer"
)

// TestEncryptedLinks runs a fleet with TLS on its links and rotates keys and authority under load.
// A daemon with a certificate of the old authority must not become a member afterwards.
func TestEncryptedLinks(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	text, upstreams := startTwoUpstreams(t)
	oldCA, newCA := signer.New(), signer.New()
	expiry := time.Now().Add(time.Hour)
	var dirs []string
	var all []*daemon
	options := func(i int, issuer *signer.Authority, trust ...*signer.Authority) daemonOptions {
		dirs = append(dirs, t.TempDir())
		f := issuer.Files(dirs[i], expiry, trust...)
		return daemonOptions{name: fmt.Sprint("erie-", i), region: "erie", domain: "a", platform: address,
			extraSettings: fmt.Sprintf("LinkTLS.Certificate = %q\nLinkTLS.Key = %q\nLinkTLS.Authority = %q\n", f.Certificate, f.Key, f.Authority)}
	}
	for i := range 3 {
		all = append(all, startDaemon(t, options(i, oldCA, oldCA)))
	}
	all[0].applySettings(3, text)
	eventually(t, "all slots are owned", func() bool { return totalSlots(all...) == 12 })
	load := startTraffic(t, 60, all...)
	load.waitProgress()
	newcomer := startDaemon(t, options(3, newCA, oldCA, newCA))
	for i := range all {
		oldCA.Files(dirs[i], expiry, oldCA, newCA)
	}
	eventually(t, "both authorities are trusted and the fourth daemon is a member", func() bool {
		return newcomer.status().Valid && newcomer.status().Members == 4
	})
	for i := range all {
		newCA.Files(dirs[i], expiry, newCA)
	}
	load.waitProgress()
	outdated := startDaemon(t, options(4, oldCA, oldCA, newCA))
	outdated.waitReady() // its settings come from the platform
	load.waitProgress()
	is.Equal(outdated.status().Valid, false)
	is.Equal(all[0].status().Members, 4)
	account := load.stopAndVerify(upstreams...)
	is.Equal(account.Unknown, uint64(0))
}
