package codes

// HTTP status codes of RFC 9110 and RFC 6585, defined here so that this package does not import net/http.
const (
	statusBadRequest            = 400
	statusUnauthorized          = 401
	statusForbidden             = 403
	statusNotFound              = 404
	statusConflict              = 409
	statusGone                  = 410
	statusRequestEntityTooLarge = 413
	statusUnprocessableEntity   = 422
	statusTooManyRequests       = 429
	statusHeaderTooLarge        = 431
	statusInternalServerError   = 500
	statusBadGateway            = 502
	statusServiceUnavailable    = 503
	statusGatewayTimeout        = 504
)
