package authenticator_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/hasher"
)

// digests returns the digests of keys.
func digests(keys ...string) (list []authenticator.Digest) {
	for _, k := range keys {
		list = append(list, authenticator.DigestOf(k))
	}
	return list
}

func TestHolder(t *testing.T) {
	is := is.New(t)
	d, err := authenticator.New([]authenticator.Organisation{
		{Name: "a", Keys: digests("k1", "k2")},
		{Name: "b", Keys: digests("k3", "k3")},
	})
	is.NoErr(err)
	is.Equal(d.Holder("k2").Name, authenticator.Name("a"))
	is.Equal(d.Holder("k3").Name, authenticator.Name("b"))
	is.Equal(d.Holder("k4"), nil)
	is.Equal(d.Holder(""), nil)
	is.Equal(d.ByHash(hasher.OfString("b")).Name, authenticator.Name("b"))
	is.Equal(len(d.All()), 2)
}

func TestCredential(t *testing.T) {
	tests := []struct {
		name   string
		values []string
		want   authenticator.CredentialStatus
	}{
		{"one", []string{"abc"}, authenticator.Valid},
		{"none", nil, authenticator.Missing},
		{"empty", []string{""}, authenticator.Missing},
		{"two", []string{"abc", "def"}, authenticator.Repeated},
		{"the same twice", []string{"abc", "abc"}, authenticator.Repeated},
		{"one and an empty one", []string{"abc", ""}, authenticator.Repeated},
		{"joined by a comma", []string{"abc,def"}, authenticator.Malformed},
		{"space", []string{"abc def"}, authenticator.Malformed},
		{"control character", []string{"abc\x7f"}, authenticator.Malformed},
		{"non-ASCII", []string{"ab\u00e7"}, authenticator.Malformed},
		{"long", []string{strings.Repeat("a", 16<<10)}, authenticator.Malformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, status := authenticator.Credential(tt.values)
			is.New(t).Equal(status, tt.want)
		})
	}
}

// TestSharedKeyHasNoHolder gives one key to several organisations. The sender of a
// request with that key is ambiguous, so the key is assigned to none of them; their
// other keys stay valid.
func TestSharedKeyHasNoHolder(t *testing.T) {
	is := is.New(t)
	d, err := authenticator.New([]authenticator.Organisation{
		{Name: "a", Keys: digests("k1", "shared")},
		{Name: "b", Keys: digests("shared", "k2")},
		{Name: "c", Keys: digests("shared")},
	})
	is.True(err != nil)
	is.Equal(d.Holder("shared"), nil)
	is.Equal(d.Holder("k1").Name, authenticator.Name("a"))
	is.Equal(d.Holder("k2").Name, authenticator.Name("b"))
	is.True(!strings.Contains(err.Error(), "shared")) // errors must not contain keys
}

func TestNewReportsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := authenticator.New([]authenticator.Organisation{
		{},
		{Name: "a", Limit: authenticator.Limit{PerSecond: -1}},
		{Name: "a"},
	})
	is.True(err != nil)
	for _, part := range []string{"without a name", "below 0", `"a" is defined twice`} {
		is.True(strings.Contains(err.Error(), part))
	}
}

func TestRegions(t *testing.T) {
	is := is.New(t)
	d, err := authenticator.New([]authenticator.Organisation{
		{Name: "a", Regions: []string{"x", "y"}},
		{Name: "b", Regions: []string{"y", "x"}},
		{Name: "c"},
	})
	is.NoErr(err)
	a, b, c := d.All()[0], d.All()[1], d.All()[2]
	is.True(a.Allows("x") && !a.Allows("z") && c.Allows("z"))
	is.Equal(a.RegionsHash(), b.RegionsHash())
	is.True(a.RegionsHash() != c.RegionsHash())
	var nobody *authenticator.Organisation
	is.True(nobody.Allows("z"))
	is.Equal(nobody.RegionsHash(), hasher.Hash(0))
}

func TestDigest(t *testing.T) {
	is := is.New(t)
	d := authenticator.DigestOf("k")
	back, err := authenticator.ParseDigest(d.String())
	is.NoErr(err)
	is.Equal(back, d)
	_, err = authenticator.ParseDigest("a-key-by-mistake")
	is.True(err != nil && !strings.Contains(err.Error(), "mistake"))
}

// TestHolderAllocatesNothing guards the lookup that each request makes.
func TestHolderAllocatesNothing(t *testing.T) {
	d, values := directoryOf(t, 100), []string{"key-50-5"}
	n := testing.AllocsPerRun(100, func() {
		key, status := authenticator.Credential(values)
		if status != authenticator.Valid || d.Holder(key) == nil {
			t.Error("not found")
		}
	})
	is.New(t).Equal(n, 0.0)
}

// directoryOf returns a directory of n organisations with 10 keys each.
func directoryOf(t testing.TB, n int) *authenticator.Directory {
	list := make([]authenticator.Organisation, n)
	for i := range list {
		list[i].Name = authenticator.Name(fmt.Sprint("organisation-", i))
		for k := range 10 {
			list[i].Keys = append(list[i].Keys, authenticator.DigestOf(fmt.Sprintf("key-%d-%d", i, k)))
		}
	}
	d, err := authenticator.New(list)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// BenchmarkHolder measures the cost per request with 10,000 organisations of 10 keys
// each.
func BenchmarkHolder(b *testing.B) {
	d, values := directoryOf(b, 10_000), []string{"key-5000-5"}
	b.ReportAllocs()
	for b.Loop() {
		key, _ := authenticator.Credential(values)
		d.Holder(key)
	}
}

// BenchmarkNew measures the cost for a daemon of building a directory of 10,000
// organisations with 10 keys each.
func BenchmarkNew(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		directoryOf(b, 10_000)
	}
}
