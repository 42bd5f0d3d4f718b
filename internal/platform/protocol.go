package platform

// Paths of the HTTP protocol; docs/platform.md describes it.
const (
	pathRow      = "/v1/tables/{table}/row"
	pathRows     = "/v1/tables/{table}/rows"
	pathTransact = "/v1/tables/{table}/transact"
	pathObject   = "/v1/objects/{name}"
	pathFaults   = "/faults"
	pathHealth   = "/healthz"
)

// headerObjectVersion contains the version of an object in decimal digits.
const headerObjectVersion = "Tarragon-Object-Version"

// maxBodyBytes bounds the body of a request or response.
const maxBodyBytes = 32 << 20

// MaxScanRows is the maximum number of rows in the response to one scan request.
const MaxScanRows = 1000

// transactBody is the request body of a transaction.
type transactBody struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// rowsBody is the response body of a scan.
type rowsBody struct {
	Rows []Row `json:"rows"`
}

// versionBody is the response body of a conditional put.
type versionBody struct {
	Version uint64 `json:"version"`
}

// errorBody is the response body of a failed call.
type errorBody struct {
	Error string `json:"error"`
}
