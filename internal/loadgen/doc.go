// Package loadgen is an open-loop HTTP load generator. It sends requests to entry
// addresses and checks every response. Arrivals are a seeded Poisson process. Latency
// is measured from the planned arrival, so that a slow fleet cannot reduce the load or
// the measured latency by delaying requests (coordinated omission).
package loadgen
