// Package intent holds the life cycle of an intent and the plan computed for it.
// An intent is a change to the fleet's configuration that an operator plans and
// confirms and that another identity approves. An intent of kind Withdraw or
// Maintenance is called a stop: it takes servers out of service.
//
// Every function is pure: the time, the view of the fleet, the rows of the
// platform's table and the observed traffic are parameters. Package
// intentstore reads and writes the rows.
package intent
