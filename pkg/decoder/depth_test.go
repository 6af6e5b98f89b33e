package decoder_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/decoder"
)

// nested returns a value that is nested depth deep.
func nested(depth int, array bool) string {
	if array {
		return strings.Repeat("[", depth) + strings.Repeat("]", depth)
	}
	return strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth)
}

// TestDeepValueCostsItself guards against a text of which nothing is decoded since one value in it is
// nested deeper than a decoder allows.
func TestDeepValueCostsItself(t *testing.T) {
	for _, depth := range []int{decoder.MaxDepth, 9_998, 10_001, 20_000, 400_000} {
		for _, array := range []bool{false, true} {
			deep := nested(depth, array)
			for name, text := range map[string]string{
				"unknown field": `[{"name":"a","unknown":` + deep + `,"count":3},{"name":"b"}]`,
				"known field":   `[{"name":"a","inner":{"raw":` + deep + `},"count":3},{"name":"b"}]`,
				"entry":         `[{"name":"a","count":3},` + deep + `,{"name":"b"}]`,
				"behind quotes": `[{"name":"a","unknown":["\"[\\",` + deep + `,"\\\"]"],"count":3},{"name":"b"}]`,
			} {
				t.Run(fmt.Sprintf("%s, %d, array=%t", name, depth, array), func(t *testing.T) {
					is := is.New(t)
					var list []lenient
					is.NoErr(decoder.Decode([]byte(text), &list))
					is.Equal(list[0].Name, "a")
					is.Equal(list[0].Count, 3)
					is.Equal(list[len(list)-1].Name, "b")
				})
			}
		}
	}
}

// TestLimitDepthKeepsOtherValues guards against a value within the limit that is changed, and one
// beyond it that is kept.
func TestLimitDepthKeepsOtherValues(t *testing.T) {
	filler := strings.Repeat("x", 2*decoder.MaxDepth)
	deepest, beyond := nested(decoder.MaxDepth-1, true), nested(decoder.MaxDepth, true)
	tests := [][2]string{
		{`["` + filler + `",` + deepest + `,1]`, `["` + filler + `",` + deepest + `,1]`},
		{`["` + filler + `",` + beyond + `,"]"]`, `["` + filler + `",` + strings.Replace(deepest, "[]", "[null]", 1) + `,"]"]`},
		{`["` + filler + `\"[",` + nested(5, true), `["` + filler + `\"[",` + nested(5, true)},
		{`["` + filler, `["` + filler},
		{`["` + filler + `\`, `["` + filler + `\`},
		{filler + `]]}}`, filler + `]]}}`},
	}
	for _, tt := range tests {
		is := is.New(t)
		limited, changed := decoder.LimitDepth([]byte(tt[0]))
		is.Equal(string(limited), tt[1])
		is.Equal(changed, tt[0] != tt[1])
	}
}
