package locator_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/internal/version/locator"
	"github.com/gullvale/gullvale/pkg/storer"
)

func TestFindUsesLongestPrefix(t *testing.T) {
	is := is.New(t)
	table, err := locator.Read(strings.NewReader("# all of it\n10.0.0.0/8 erie/a\n10.1.0.0/16 michigan/b\n2001:db8::/32 superior/a\n"))
	is.NoErr(err)
	for a, want := range map[string]string{
		"10.2.0.1": "erie/a", "10.1.9.9": "michigan/b", "::ffff:10.1.9.9": "michigan/b",
		"2001:db8::1": "superior/a", "192.0.2.1": "", "2001:db9::1": "",
	} {
		is.Equal(string(table.Find(netip.MustParseAddr(a)).Origin), want)
	}
	// Neighbouring addresses outside all blocks share a block.
	x := table.Find(netip.MustParseAddr("192.0.2.1"))
	is.Equal(x, table.Find(netip.MustParseAddr("192.0.2.200")))
	is.True(x != table.Find(netip.MustParseAddr("192.0.3.1")))
}

func TestReadErrorsNameLine(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"10.0.0.0/8 erie/a\n10.0.0/8 erie/a", "x\n10.0.0.0/8"} {
		_, err := locator.Read(strings.NewReader(text))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "line "))
	}
}

// blocks returns the text of a table of n blocks over 140 origins: 20 domain names in 7
// regions.
func blocks(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%d.%d.%d.0/24 r%d/d%d\n", 1+i>>16, i>>8&255, i&255, i%7, i%20)
	}
	return b.String()
}

func TestSaveAndLoad(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(&platform.Server{})
	defer s.Close()
	c := &storer.Client{Address: s.URL}
	ctx := context.Background()
	n, err := locator.Save(ctx, c, "one", strings.NewReader(blocks(100001)))
	is.NoErr(err)
	is.Equal(n, 100001)
	table, err := locator.Load(ctx, c, "one")
	is.NoErr(err)
	is.Equal(table.Len(), 100001)
	_, err = locator.Load(ctx, c, "two")
	is.True(err != nil)
}

// TestInterruptedSaveCanBeContinued interrupts a Save after two parts. The same text can
// then be saved under the same name; a different text conflicts.
func TestInterruptedSaveCanBeContinued(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(&platform.Server{})
	defer s.Close()
	ctx := context.Background()
	remaining := 2
	c := &storer.Client{Address: s.URL, Do: func(q *http.Request) (*http.Response, error) {
		if remaining == 0 {
			return nil, errors.New("connection interrupted")
		}
		remaining--
		return http.DefaultClient.Do(q)
	}}
	_, err := locator.Save(ctx, c, "one", strings.NewReader(blocks(100001)))
	is.True(err != nil)

	remaining = 100
	_, err = locator.Save(ctx, c, "one", strings.NewReader("10.0.0.0/8 r9/d9\n"+blocks(100001)))
	is.True(errors.Is(err, storer.ErrConflict))
	n, err := locator.Save(ctx, c, "one", strings.NewReader(blocks(100001)))
	is.NoErr(err)
	is.Equal(n, 100001)
	table, err := locator.Load(ctx, c, "one")
	is.NoErr(err)
	is.Equal(table.Len(), 100001)
	_, err = locator.Save(ctx, c, "one", strings.NewReader(blocks(100001)))
	is.True(errors.Is(err, storer.ErrConflict)) // every part was already stored
}

// BenchmarkLoad measures loading a table, and reports the bytes transferred from the
// store.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{10000, 100000, 390000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := httptest.NewServer(&platform.Server{})
			defer s.Close()
			c := &storer.Client{Address: s.URL}
			ctx := context.Background()
			if _, err := locator.Save(ctx, c, "t", strings.NewReader(blocks(n))); err != nil {
				b.Fatal(err)
			}
			before := c.Calls().Bytes.Load()
			rounds := 0
			for b.Loop() {
				rounds++
				if _, err := locator.Load(ctx, c, "t"); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(c.Calls().Bytes.Load()-before)/float64(rounds)/1000, "KB")
		})
	}
}
