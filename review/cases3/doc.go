// Package cases3 holds the scripted cases of review/REPORT-3.md: each starts the nodes of a small deployment as
// separate processes beside stand-ins of the store, the servers and the clients. The code is in test files with the
// build tag review3, so that neither CI nor the default test run takes it; review/build-3.sh builds it.
package cases3
