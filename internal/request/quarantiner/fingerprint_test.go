package quarantiner_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/quarantiner"
)

// TestFingerprintDistinguishesRequests changes one part of a request at a time.
func TestFingerprintDistinguishesRequests(t *testing.T) {
	base := func() quarantiner.Content {
		return quarantiner.Content{Method: "POST", Host: "a.example", Target: "/p?q=1", Caller: []string{"one", "two"}, Body: []byte("body"), Length: 4}
	}
	first := base().Fingerprint()
	tests := []struct {
		name   string
		change func(*quarantiner.Content)
		same   bool
	}{
		{"nothing", func(*quarantiner.Content) {}, true},
		{"case of the host", func(c *quarantiner.Content) { c.Host = "A.Example" }, true},
		{"method", func(c *quarantiner.Content) { c.Method = "PUT" }, false},
		{"host", func(c *quarantiner.Content) { c.Host = "b.example" }, false},
		{"path", func(c *quarantiner.Content) { c.Target = "/o?q=1" }, false},
		{"query", func(c *quarantiner.Content) { c.Target = "/p?q=2" }, false},
		{"caller", func(c *quarantiner.Content) { c.Caller = []string{"one", "three"} }, false},
		{"boundary between caller fields", func(c *quarantiner.Content) { c.Caller = []string{"onet", "wo"} }, false},
		{"body", func(c *quarantiner.Content) { c.Body = []byte("bodz") }, false},
		{"length of a body of which only the beginning is known", func(c *quarantiner.Content) { c.Length = 9 }, false},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			c := base()
			x.change(&c)
			is.Equal(c.Fingerprint() == first, x.same)
		})
	}
}

func TestParseFingerprint(t *testing.T) {
	is := is.New(t)
	f := quarantiner.Content{Target: "/"}.Fingerprint()
	read, err := quarantiner.ParseFingerprint(f.String())
	is.NoErr(err)
	is.Equal(read, f)
	for _, bad := range []string{"", "00", "zz", f.String() + "00"} {
		_, err := quarantiner.ParseFingerprint(bad)
		is.True(err != nil)
	}
}
