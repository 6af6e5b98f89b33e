package verifier

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// ErrInvalid means that what was received is no response.
var ErrInvalid = eris.New("invalid response")

// CheckHead checks the head of a response, which may be an interim one. Its errors wrap ErrInvalid.
func CheckHead(status int, _ http.Header) error {
	if status < http.StatusContinue || status > maxStatus {
		return eris.Wrapf(ErrInvalid, "status %03d is not between %d and %d", status, http.StatusContinue, maxStatus)
	}
	return nil
}
