// Package fleet defines the records that nodes share, the configuration rows
// that the platform stores, and View, the immutable snapshot of the fleet that
// traffic goroutines read.
//
// Each shared record has exactly one writer, so records are never merged:
// the copies of a record are ordered by Version, which is (incarnation, sequence),
// and the newest copy wins.
package fleet
