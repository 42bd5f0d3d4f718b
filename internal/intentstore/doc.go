// Package intentstore keeps intents in the platform's table. Each step of the
// life cycle is one transaction that writes the intent's row, one audit row
// and, if the step changes the configuration, the configuration rows, the
// change counter and one change row.
//
// The audit row of step n carries the mark of its transaction and must be
// absent before it, so a step takes effect at most once however often its
// transaction is sent. After a lost answer the engine reads that row back.
package intentstore
