// Package experiment runs the decision code of the node in virtual time, with a seeded
// random source and small models of backend servers, and reports the results as tables.
// The same seed gives the same output, byte for byte.
package experiment
