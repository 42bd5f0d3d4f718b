// Package seed reads the file that fills an empty platform with the first
// configuration and the identities of operators. docs/platform.md describes
// the file.
package seed
