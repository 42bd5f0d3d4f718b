// Package problem writes result-code errors as problem-details responses (RFC 9457).
package problem
