package decoder

import (
	"errors"

	json "github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// Decode decodes JSON into a value by the rules of encoding/json.
func Decode(b []byte, into any) error {
	return jsonv1.Unmarshal(b, into)
}

// DecodeLenient decodes the next value of d by the rules of encoding/json. Fields of an unexpected type
// stay zero.
func DecodeLenient(d *jsontext.Decoder, into any) error {
	err := json.UnmarshalDecode(d, into, jsonv1.DefaultOptionsV1())
	var typeError *jsonv1.UnmarshalTypeError
	var semanticError *json.SemanticError
	if errors.As(err, &typeError) || errors.As(err, &semanticError) {
		return nil
	}
	return err
}
