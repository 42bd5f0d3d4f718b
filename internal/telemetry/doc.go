// Package telemetry provides the log, the metrics and the traces of a node.
//
// Counters come first: the request path increments Counter cells, which are
// single atomic words, and the metrics page reads them when it is pulled. Log
// lines are written for changes of state only and carry the counters as fields.
//
// Spans go through a bounded queue to an OTLP/HTTP collector. When the
// collector is slow or down, spans are dropped and counted; requests never wait.
package telemetry
