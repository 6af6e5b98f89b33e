package verifier

import (
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// ErrInvalid means that what was received is no response.
var ErrInvalid = eris.New("invalid response")

// CheckHead checks the head of a response, which may be an interim one. Its errors wrap ErrInvalid.
func CheckHead(status int, h http.Header) error {
	if status < http.StatusContinue || status > maxStatus {
		return eris.Wrapf(ErrInvalid, "status %03d is not between %d and %d", status, http.StatusContinue, maxStatus)
	}
	return CheckFields(h)
}

// CheckFinal checks the head of a final response.
func CheckFinal(status int, h http.Header) error {
	if status >= http.StatusContinue && status < http.StatusOK {
		return eris.Wrapf(ErrInvalid, "interim status %d of a final response", status)
	}
	return CheckHead(status, h)
}

// CheckFields checks the names of the fields in a head or a trailer. net/http takes a name with a blank,
// such as "Content-Length ", for that of another field.
func CheckFields(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrInvalid, "name of field %q", name)
		}
	}
	return nil
}
