// Package platform is the interface to the platform's transactional table
// service and object store, with an HTTP client and an in-memory
// implementation that the stand-in serves.
//
// A table holds rows of key, version and value. A transaction checks the
// versions of some rows and writes others, all or nothing. Its response may be
// lost after it took effect, so every caller writes a mark that identifies the
// transaction to a row that is never overwritten, and reads it back before it
// retries.
package platform
