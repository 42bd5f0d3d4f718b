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

// headerObjectVersion carries the version of an object, in decimal digits.
const headerObjectVersion = "Tarragon-Object-Version"

// maxBodyBytes bounds a request or answer body of the protocol.
const maxBodyBytes = 32 << 20

// MaxScanRows is the largest number of rows that one scan over HTTP returns.
const MaxScanRows = 1000

// transactBody is the body of a transaction.
type transactBody struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// rowsBody is the answer to a scan.
type rowsBody struct {
	Rows []Row `json:"rows"`
}

// versionBody is the answer to a conditional put.
type versionBody struct {
	Version uint64 `json:"version"`
}

// errorBody is the answer to a call that failed.
type errorBody struct {
	Error string `json:"error"`
}
