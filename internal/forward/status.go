package forward

import "net/http"

// maxStatus is the highest status code of HTTP (RFC 9110, section 15).
const maxStatus = 599

// IsValidStatus reports whether HTTP has the status code, interim ones included. Parsers of responses accept any
// three digits.
func IsValidStatus(status int) bool { return status >= http.StatusContinue && status <= maxStatus }
