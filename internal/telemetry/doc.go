// Package telemetry provides the logs, metrics and traces of a node.
//
// Counters are the primary signal: the request path increments Counter values,
// which are single atomic words, and the metrics endpoint reads them when it is
// scraped. Log lines are written for state changes only and carry the counters
// as fields.
//
// Spans go through a bounded queue to an OTLP/HTTP collector. When the collector
// is slow or down, spans are dropped and counted; requests never wait for it.
package telemetry
