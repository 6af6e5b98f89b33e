package quarantiner_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/quarantiner"
)

func TestSuspectsArePacked(t *testing.T) {
	is := is.New(t)
	list := []quarantiner.Suspect{{Fingerprint: crashing, Clearings: 2, Crashes: 3, Age: 4000}, {Fingerprint: fingerprintOf(1), Crashes: 1}}
	back, err := quarantiner.Unpack(quarantiner.Pack(list))
	is.NoErr(err)
	is.Equal(back, list)
	none, err := quarantiner.Unpack(nil)
	is.NoErr(err)
	is.Equal(len(none), 0)
	_, err = quarantiner.Unpack([]byte("no suspects"))
	is.True(err != nil)
}
