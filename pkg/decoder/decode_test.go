package decoder_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/decoder"
)

type (
	inner struct {
		Seq   *int64          `json:"seq"`
		Left  *float64        `json:"left-ms"`
		Raw   json.RawMessage `json:"raw"`
		Names []string        `json:"names"`
	}

	outer struct {
		Name   string         `json:"name"`
		Count  int            `json:"count"`
		At     uint64         `json:"at,omitempty"`
		Flag   bool           `json:"flag"`
		Inner  inner          `json:"inner"`
		Lists  []inner        `json:"lists"`
		Places map[string]int `json:"places"`
	}

	// lenient is decoded with DecodeLenient.
	lenient struct{ outer }
)

// UnmarshalJSONFrom implements the decoder's interface.
func (l *lenient) UnmarshalJSONFrom(d *jsontext.Decoder) error {
	return decoder.DecodeLenient(d, &l.outer)
}

// samples are texts in which encoding/json is lenient or strict.
var samples = []string{
	`{"name":"a","count":3,"at":18446744073709551615,"flag":true,"inner":{"seq":1,"left-ms":0.5,"raw":{"x":[1, 2]},"names":["a"]}}`,
	`{"NAME":"upper case","Count":4}`, `{"name":"a","name":"b"}`, `{"name":null,"inner":null,"lists":null}`,
	`{"name":7,"count":5}`, `{"count":1.5,"name":"a"}`, `{"count":"1","name":"a"}`, `{"inner":"text","name":"a"}`,
	`{"inner":{"seq":"1","left-ms":2}}`, `{"lists":[{"seq":1},{"seq":"x"},{"seq":3}],"name":"a"}`, `{"at":-1,"name":"a"}`,
	`{"places":{"x":1,"y":"2"},"name":"a"}`, `{"unknown":{"deep":[{}]},"name":"a"}`, "{\"name\":\"\xff\"}", `{"name":"\ud800"}`,
	`[]`, `"text"`, `null`, `7`, ``, `{`, `{"name":"a"} x`, `{"name":"a",}`, `{"flag":"true","name":"a"}`, `{"count":1e3}`, `{"count":9999999999999999999}`,
}

// compare decodes a text both ways and reports whether the results differ.
func compare(t *testing.T, text string) {
	var want, got outer
	errWant, err := json.Unmarshal([]byte(text), &want), decoder.Decode([]byte(text), &got)
	if (errWant == nil) != (err == nil) {
		t.Errorf("%q: error %v, encoding/json: %v", text, err, errWant)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%q: %+v, encoding/json: %+v", text, got, want)
	}
}

func TestDecodesAsEncodingJSON(t *testing.T) {
	for _, s := range samples {
		compare(t, s)
	}
}

func FuzzDecode(f *testing.F) {
	for _, s := range samples {
		f.Add(s)
	}
	f.Fuzz(compare)
}

// TestLenientKeepsOtherValues guards against a list of which nothing is decoded since one value in it
// is of an unexpected type.
func TestLenientKeepsOtherValues(t *testing.T) {
	is := is.New(t)
	var list []lenient
	is.NoErr(decoder.Decode([]byte(`[{"name":"a","count":1},{"name":7,"count":2},"text",{"inner":{"seq":"x","left-ms":2}},{"name":"z"}]`), &list))
	is.Equal(len(list), 5)
	is.Equal(list[0].Name, "a")
	is.Equal(list[1].Count, 2)
	is.Equal(list[2].Name, "")
	is.Equal(*list[3].Inner.Left, 2.0)
	is.Equal(list[4].Name, "z")
	is.True(decoder.Decode([]byte(`[{"name":"a"},{`), &list) != nil)
}
