package confsync

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/platform"
)

const (
	// directoryInterval is the mean time between two reads of the node rows.
	// At 500 nodes this is about 1 read/s for the whole fleet.
	directoryInterval = 10 * time.Minute
	// directoryRetryDelay is the delay after a failure. It doubles up to
	// directoryInterval with each further failure.
	directoryRetryDelay = 5 * time.Second
	// rowRenewalAge is the age at which a node renews its own row.
	rowRenewalAge = 24 * time.Hour
	// rowLifetime is the age after which a row is ignored and deleted.
	rowLifetime = 7 * 24 * time.Hour
	// maxNodeRows bounds the node rows read in one pass.
	maxNodeRows = 10_000
	// maxDeletesPerScan bounds the expired rows deleted in one pass.
	maxDeletesPerScan = 10
)

// NodeRow is the value of a node/<id> row.
type NodeRow struct {
	// ControlAddr is the host:port at which peers call the node.
	ControlAddr string `json:"control"`
	// At is the time of the write by the node's clock.
	At time.Time `json:"at"`
}

// Directory publishes this node's control address in the platform's table and
// discovers the addresses of the other nodes there.
type Directory struct {
	nodeID, controlAddr string
	store               platform.Store
	timeout             time.Duration
	onAddrs             func(addrs []string)
}

// NewDirectory returns a Directory that passes the addresses of other nodes to
// onAddrs, for example gossip.Service.SetDiscoveredSeeds. timeout bounds one call
// to the platform.
func NewDirectory(nodeID, controlAddr string, store platform.Store, timeout time.Duration, onAddrs func([]string)) *Directory {
	return &Directory{nodeID: nodeID, controlAddr: controlAddr, store: store, timeout: timeout, onAddrs: onAddrs}
}

// Run publishes this node's address and reads the others' at intervals with
// jitter until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	retry := directoryRetryDelay
	for ctx.Err() == nil {
		wait := directoryInterval
		if err := d.step(ctx, time.Now()); err != nil {
			wait = retry
			retry = min(2*retry, directoryInterval)
		} else {
			retry = directoryRetryDelay
		}
		timer := time.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

func (d *Directory) step(ctx context.Context, now time.Time) error {
	writeErr := d.publishAddr(ctx, now)
	return trace.NewAggregate(writeErr, d.readNodeRows(ctx, now))
}

// publishAddr writes this node's row unless it is up to date. A lost response
// is harmless, because the next attempt reads the row first.
func (d *Directory) publishAddr(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	key := fleet.PrefixNode + d.nodeID
	row, err := d.store.Get(ctx, fleet.Table, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return trace.Wrap(err)
	}
	var known NodeRow
	if err == nil && json.Unmarshal(row.Value, &known) == nil &&
		known.ControlAddr == d.controlAddr && now.Sub(known.At) < rowRenewalAge {
		return nil
	}
	value, err := json.Marshal(NodeRow{ControlAddr: d.controlAddr, At: now.UTC()})
	if err != nil {
		return trace.Wrap(err)
	}
	checks := []platform.Check{{Key: key, Version: row.Version}}
	return trace.Wrap(d.store.Transact(ctx, fleet.Table, checks, []platform.Write{{Key: key, Value: value}}))
}

// readNodeRows passes the addresses of other nodes to onAddrs and deletes up to
// maxDeletesPerScan rows that have expired or cannot be decoded.
func (d *Directory) readNodeRows(ctx context.Context, now time.Time) error {
	var addrs []string
	var expired []platform.Row
	after := ""
	for seen := 0; seen < maxNodeRows; {
		rows, err := d.scan(ctx, after)
		if err != nil {
			return trace.Wrap(err)
		}
		for _, row := range rows {
			var node NodeRow
			switch err := json.Unmarshal(row.Value, &node); {
			case err != nil || now.Sub(node.At) > rowLifetime:
				expired = append(expired, row)
			case row.Key != fleet.PrefixNode+d.nodeID:
				addrs = append(addrs, node.ControlAddr)
			}
		}
		seen += len(rows)
		if len(rows) < scanPageRows {
			break
		}
		after = rows[len(rows)-1].Key
	}
	d.onAddrs(addrs)
	d.deleteExpired(ctx, expired)
	return nil
}

func (d *Directory) scan(ctx context.Context, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.store.Scan(ctx, fleet.Table, fleet.PrefixNode, after, scanPageRows)
}

// deleteExpired deletes rows that have not changed since they were read. Failed
// deletions are retried by the next pass of any node.
func (d *Directory) deleteExpired(ctx context.Context, rows []platform.Row) {
	for _, row := range rows[:min(len(rows), maxDeletesPerScan)] {
		callCtx, cancel := context.WithTimeout(ctx, d.timeout)
		checks := []platform.Check{{Key: row.Key, Version: row.Version}}
		_ = d.store.Transact(callCtx, fleet.Table, checks, []platform.Write{{Key: row.Key}})
		cancel()
	}
}
