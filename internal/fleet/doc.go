// Package fleet defines the records that nodes share, the configuration rows
// that the platform keeps, and View, the immutable picture of the fleet that
// traffic goroutines read.
//
// Each shared record has exactly one writer, so records are never merged:
// (incarnation, version) orders the copies of a record and the newest wins.
package fleet
