// Package cases holds the scripts of the review. A case runs a small deployment of tarragon-sidecar:
// the nodes are separate processes, started as deploy/system.toml says; the platform's store, the
// backend servers, their callers and the readiness probes are stand-ins in the process of the case. All
// addresses are loopback addresses. The cases are built with the tag "review" only (review/build.sh).
package cases
