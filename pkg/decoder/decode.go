package decoder

import (
	"errors"

	json "github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// Decode decodes JSON into a value by the rules of encoding/json. It leaves out what is nested too deep
// to be decoded.
func Decode(b []byte, into any) error {
	err := jsonv1.Unmarshal(b, into)
	var syntaxError *jsonv1.SyntaxError
	if !errors.As(err, &syntaxError) {
		return err
	}
	limited, changed := LimitDepth(b)
	if !changed {
		return err
	}
	return jsonv1.Unmarshal(limited, into)
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
