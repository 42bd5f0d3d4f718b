// Package backend is the stand-in for a backend server. It announces itself to
// the node beside it, runs requests in a fixed number of slots, and can be
// told to fail in the ways that real servers do. It keeps its own record of
// what it ran, which checks compare with what callers saw.
package backend
