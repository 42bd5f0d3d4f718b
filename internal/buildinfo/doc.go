// Package buildinfo reports the version of the running binary.
package buildinfo
