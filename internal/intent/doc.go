// Package intent holds the life cycle of an intent and the plan made for it.
//
// Every function is pure: the time, the view of the fleet, the rows of the
// platform's table and the observed traffic are parameters. Package
// intentstore reads and writes the rows.
package intent
