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
	// directoryInterval is the mean time between two readings of the node rows,
	// about 1 read/s in all at 500 nodes.
	directoryInterval = 10 * time.Minute
	// directoryRetry doubles up to directoryInterval while the platform fails.
	directoryRetry = 5 * time.Second
	// rowRenewal is the age at which a node writes its row again.
	rowRenewal = 24 * time.Hour
	// rowLifetime is the age at which a row is not used any more and deleted.
	rowLifetime = 7 * 24 * time.Hour
	// maxDirectory bounds the node rows that are read.
	maxDirectory = 10_000
	// deletesPerReading bounds the writes of one reading.
	deletesPerReading = 10
)

// NodeRow is the value of a node/<id> row.
type NodeRow struct {
	// ControlAddr is the host:port at which peers call the node.
	ControlAddr string `json:"control"`
	// At is the time of writing by the node's clock.
	At time.Time `json:"at"`
}

// Directory publishes this node's control address in the platform's table and
// finds the addresses of others there.
type Directory struct {
	self, addr string
	store      platform.Store
	timeout    time.Duration
	found      func(addrs []string)
}

// NewDirectory returns a Directory that hands the addresses of other nodes to
// found, as in gossip.Service.AddSeeds. timeout bounds one call to the platform.
func NewDirectory(self, controlAddr string, store platform.Store, timeout time.Duration, found func([]string)) *Directory {
	return &Directory{self: self, addr: controlAddr, store: store, timeout: timeout, found: found}
}

// Run writes and reads until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	retry := directoryRetry
	for ctx.Err() == nil {
		wait := directoryInterval
		if err := d.step(ctx, time.Now()); err != nil {
			wait = retry
			retry = min(2*retry, directoryInterval)
		} else {
			retry = directoryRetry
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
	writeErr := d.write(ctx, now)
	return trace.NewAggregate(writeErr, d.read(ctx, now))
}

// write publishes the address unless the row has it already. A lost answer is
// harmless: the next attempt reads the row first.
func (d *Directory) write(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	key := fleet.PrefixNode + d.self
	row, err := d.store.Get(ctx, fleet.Table, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return trace.Wrap(err)
	}
	var known NodeRow
	if err == nil && json.Unmarshal(row.Value, &known) == nil &&
		known.ControlAddr == d.addr && now.Sub(known.At) < rowRenewal {
		return nil
	}
	value, err := json.Marshal(NodeRow{ControlAddr: d.addr, At: now.UTC()})
	if err != nil {
		return trace.Wrap(err)
	}
	checks := []platform.Check{{Key: key, Version: row.Version}}
	return trace.Wrap(d.store.Transact(ctx, fleet.Table, checks, []platform.Write{{Key: key, Value: value}}))
}

// read hands over the addresses of other nodes and deletes a few rows that
// nobody has renewed.
func (d *Directory) read(ctx context.Context, now time.Time) error {
	var addrs []string
	var old []platform.Row
	after := ""
	for seen := 0; seen < maxDirectory; {
		rows, err := d.scan(ctx, after)
		if err != nil {
			return trace.Wrap(err)
		}
		for _, row := range rows {
			var node NodeRow
			switch err := json.Unmarshal(row.Value, &node); {
			case err != nil || now.Sub(node.At) > rowLifetime:
				old = append(old, row)
			case row.Key != fleet.PrefixNode+d.self:
				addrs = append(addrs, node.ControlAddr)
			}
		}
		seen += len(rows)
		if len(rows) < scanPage {
			break
		}
		after = rows[len(rows)-1].Key
	}
	d.found(addrs)
	d.deleteOld(ctx, old)
	return nil
}

func (d *Directory) scan(ctx context.Context, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.store.Scan(ctx, fleet.Table, fleet.PrefixNode, after, scanPage)
}

// deleteOld deletes rows if they have not changed since. Failures are left to
// the next reading of any node.
func (d *Directory) deleteOld(ctx context.Context, rows []platform.Row) {
	for _, row := range rows[:min(len(rows), deletesPerReading)] {
		callCtx, cancel := context.WithTimeout(ctx, d.timeout)
		checks := []platform.Check{{Key: row.Key, Version: row.Version}}
		_ = d.store.Transact(callCtx, fleet.Table, checks, []platform.Write{{Key: row.Key}})
		cancel()
	}
}
