// Package loadgen sends open-loop HTTP load to entry addresses and checks every
// answer. Arrivals are a seeded Poisson process; latency is measured from the
// planned arrival, so that a slow fleet does not hide its own delay.
package loadgen
