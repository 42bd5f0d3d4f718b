// Package intentstore stores intents in the platform's table. Each step of the
// life cycle is one transaction that writes the intent's row, one audit row
// and, if the step changes the configuration, the configuration rows, the
// change counter and one change row.
//
// The audit row of step n holds the ID of its transaction and must not exist
// before it, so a step takes effect at most once however often its transaction
// is sent. After a lost response the engine reads that row to find out whether
// the transaction was applied.
package intentstore
