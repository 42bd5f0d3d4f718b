// Package report reads, writes and compares the results of load runs: the attempts of
// callers as CSV, the summary of a run as JSON and text, and the comparison of the
// callers' attempts with the servers' own records.
package report
