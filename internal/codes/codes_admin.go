package codes

// Administration.
var (
	BadIntent = define(4001, "bad-intent", statusBadRequest, NotRun,
		"The intent or the request of the administration API is malformed.", "Correct the named value; docs/operators.md lists the intents.")
	Unauthenticated = define(4002, "unauthenticated", statusUnauthorized, NotRun,
		"The bearer token is missing or unknown.", "Provide a valid token with --token-file or TARRAGON_TOKEN.")
	Forbidden = define(4003, "forbidden", statusForbidden, NotRun,
		"The role of the identity does not allow this step.", "Ask an operator with the named role.")
	SameIdentity = define(4004, "same-identity", statusForbidden, NotRun,
		"The approver also created, planned or confirmed the intent.", "Ask a different identity with the role approver.")
	UnknownIntent = define(4005, "unknown-intent", statusNotFound, NotRun,
		"No intent has this ID.", "List the intents with tarragonctl intent list.")
	UnknownTarget = define(4006, "unknown-target", statusNotFound, NotRun,
		"The fleet has no server, instance, data centre, service or row with this name.", "Check the name with tarragonctl servers, nodes or services.")
	FloorWouldBreak = define(4007, "floor-would-break", statusConflict, NotRun,
		"The change would reduce healthy capacity below the floor.", "Wait until more capacity is healthy, choose another window, or lower the floor first.")
	PlanStale = define(4008, "plan-stale", statusConflict, NotRun,
		"The plan is not the newest, or the state that it is based on has changed.", "Make a new plan, review it, and confirm the new plan.")
	WrongState = define(4009, "wrong-state", statusConflict, NotRun,
		"The state of the intent does not allow this step.", "Check the state with tarragonctl intent get.")
	ViewNotReady = define(4010, "view-not-ready", statusServiceUnavailable, NotRun,
		"The node has no current view of the fleet and cannot plan.", "Use another node, or try again after a short pause.")
	NothingWithdrawn = define(4011, "nothing-withdrawn", statusConflict, NotRun,
		"No withdrawal of this target is in force or scheduled.", "Check the withdrawals with tarragonctl status.")
	UnknownPath = define(4012, "unknown-path", statusNotFound, NotRun,
		"The administration API has no such path or method.", "Compare the versions of tarragonctl and of the node.")
	IntentExists = define(4013, "intent-exists", statusConflict, NotRun,
		"Another intent has this ID.", "Leave the ID out, or use a new one.")
	BadCommand = define(4014, "bad-command", 0, NotRun,
		"The command line is incomplete or malformed.", "Read tarragonctl --help.")
	WaitTimeout = define(4015, "wait-timeout", 0, Unknown,
		"The change was not in force on every reachable node when the wait timed out.", "Look for lagging nodes with tarragonctl status.")
)

// Platform and peers.
var (
	StoreDown = define(6001, "store-down", statusServiceUnavailable, NotRun,
		"The platform's table is not responding, and nothing was changed.", "Try again when the platform is back; meanwhile traffic is served with the configuration in force.")
	StoreOutcomeUnknown = define(6002, "store-outcome-unknown", statusServiceUnavailable, Unknown,
		"The platform stopped responding while the step was being written.", "Repeat the same step; a step that already took effect is not applied again.")
	StoreBusy = define(6003, "store-busy", statusConflict, NotRun,
		"Every attempt to write conflicted with a concurrent change, and nothing was changed.", "Try again.")
	RowUnreadable = define(6004, "row-unreadable", statusInternalServerError, NotRun,
		"A row of the platform's table cannot be decoded.", "Report the named row; a newer version of the program may have written it.")
	NodeUnreachable = define(6101, "node-unreachable", 0, Unknown,
		"None of the nodes given with --node answered.", "Check the addresses given with --node; a step that was sent can be repeated safely.")
)
