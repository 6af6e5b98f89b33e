package loader_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/internal/version/loader"
)

const organisations = table + `
[Organisation.brewery]
Keys = ["DIGEST"]
Rank = 1
PerSecond = 12.5
Burst = 30
Regions = ["erie"]
[Organisation.tap]
`

func withDigest(text string) string {
	return strings.Replace(text, "DIGEST", authenticator.DigestOf("k").String(), 1)
}

func TestOrganisations(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(withDigest(organisations), "[Organisation.tap]", "[Organisation.tap]\nRank = 2", 1)
	x, problems := loader.Read("t.toml", []byte(text))
	is.NoErr(problems.OrNil())
	d := x.Config.Organisations
	is.True(d.Required())
	is.Equal(d.Len(), 2)
	o := d.Holder("k")
	is.Equal(o.Name, authenticator.Name("brewery"))
	is.Equal(o.Rank, authenticator.Rank(1))
	is.Equal(o.Limit, authenticator.Limit{PerSecond: 12.5, Burst: 30})
	is.True(o.Allows("erie") && !o.Allows("michigan"))
	is.Equal(x.Config.MostUrgentOrganisationRank(), authenticator.Rank(1))

	x, problems = loader.Read("t.toml", []byte(table))
	is.NoErr(problems.OrNil())
	is.True(!x.Config.Organisations.Required())
}

// TestOrganisationProblems puts one error of each kind into a file. It must be
// reported, and no report may repeat a key that was entered in place of a digest.
func TestOrganisationProblems(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"DIGEST"`, `"a-key-by-mistake"`, "Organisation.brewery.Keys: entry 1 is not a key digest"},
		{`Keys = ["DIGEST"]`, `Keys = "DIGEST"`, "Organisation.brewery.Keys: is not a list"},
		{"PerSecond = 12.5", "PerSecond = -1", "Organisation.brewery.PerSecond: is not a number"},
		{"Burst = 30", "Burst = many", "t.toml"},
		{"Rank = 1\nPer", "Rank = 0.5\nPer", "Organisation.brewery.Rank: is not a whole number"},
		{"Burst = 30", "Brst = 30", "Organisation.brewery.Brst: unknown setting"},
		{"[Organisation.tap]", "[Organisation.tap]\nKeys = [\"DIGEST2\"]", "shares a key with another organisation"},
	} {
		t.Run(c.to, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(organisations, c.from))
			text := strings.Replace(organisations, c.from, c.to, 1) + "\n[Upstream.u3]\nService = \"nobody\"\n"
			text = strings.ReplaceAll(withDigest(text), "DIGEST2", authenticator.DigestOf("k").String())
			x, problems := loader.Read("t.toml", []byte(text))
			is.Equal(x, nil)
			is.True(strings.Contains(problems.Error(), c.want))
			is.True(!strings.Contains(problems.Error(), "mistake"))
		})
	}
}
