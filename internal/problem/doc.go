// Package problem writes coded errors as problem-details bodies (RFC 9457).
package problem
