// Package buildinfo gives the version that the binaries print.
package buildinfo
