// Package confsync keeps the configuration of a node up to date, from the
// platform's table and from peers. It runs on a goroutine of its own; the control
// goroutine only applies complete updates.
//
// # Meaning of the version
//
// Each accepted change increments the change counter and writes its configuration
// rows and a change row that lists their keys, all in one transaction. A node at
// version N has every change up to N in force. The table offers no snapshot across
// several reads, so a node reads the counter first, then the change rows after its
// own version, then the rows that they name, and then the counter again. If the
// counter has increased, the node also reads the rows that the further changes
// name, up to four times. The new version is the last value of the counter for
// which all named rows were read after it. A row may by then hold the value of a
// later change; it keeps the version of the newest change known to name it, so the
// later change still replaces it. Rows and versions never go back.
//
// # Sources
//
// A node polls the counter at the poll interval with jitter; while the table
// does not answer, the interval doubles up to a minute. Each gossip exchange
// carries the version, and a node that is behind immediately fetches the rows from
// the peer (config.since). So the first poll that finds a change propagates it to
// all nodes. None of this is on the request path.
//
// A node keeps deleted rows as tombstones, rows without a value. Its horizon is
// the version above which it holds the row of every change. A peer that is behind
// the horizon gets all rows and deletes those that are not among them.
//
// # Readiness
//
// The readiness gate "configuration" opens when a read of the platform's table has
// succeeded. If the platform fails, it opens when three peers that have a complete
// configuration themselves have answered, or all known peers if fewer than three
// are known 5 s after the first answer, and this node has the newest version that
// any of them reported. After a freeze of the process the gate closes until one of
// these conditions has been met again since the freeze.
//
// # Limits
//
// A configuration holds at most 400,000 rows with keys up to 512 bytes. Pages
// hold 1,000 rows from the platform and 128 KB from a peer.
package confsync
