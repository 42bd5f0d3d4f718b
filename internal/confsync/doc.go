// Package confsync keeps the configuration of a node up to date, from the
// platform's table and from peers. It runs on its own goroutine; the control
// goroutine only takes over finished results.
//
// # Meaning of the version
//
// Each accepted change raises the change counter, writes its configuration rows
// and a change row that names them, all in one transaction. A node at version N
// has every change up to N in force. The table offers no snapshot over several
// reads, so a pass reads the counter first, then the change rows after the own
// version, then the named rows, and then the counter again. If the counter
// moved, the pass also reads the rows that the further changes name, up to four
// times. The pass ends at the last counter up to which all named rows were read
// after it. A row may then already hold the value of a later change; it keeps
// the version of the newest change known to name it, so the later change
// replaces it again when its turn comes. Rows and versions only go forward.
//
// # Sources
//
// A node polls the counter at the poll interval with jitter; while the table
// does not answer, the interval doubles up to a minute. The version travels with
// each gossip exchange, and a node that is behind fetches the rows at once from
// the peer (config.since). So the first poll that finds a change brings it to
// all nodes. Nothing here is on the path of a request.
//
// A node keeps deleted rows as rows without value. Its horizon is the version
// above which it holds the row of every change. A peer that is behind the
// horizon gets all rows and deletes what is not among them.
//
// # Readiness
//
// The gate "configuration" opens when a pass over the platform ended well. If
// the platform fails, it opens when three peers that have a configuration
// themselves have answered, or all known peers if fewer are known 5 s after the
// first answer, and this node has the newest version that any of them named.
// After a freeze the gate closes until one of these is true again, counted from
// the freeze.
//
// # Limits
//
// A configuration holds at most 400,000 rows with keys up to 512 bytes. Pages
// hold 1,000 rows from the platform and 128 KB from a peer.
package confsync
