package sidecar

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/currency"
	"github.com/tarragonford/tarragonford/internal/platform"
)

const (
	// firstStartPause gives all members time to write their rows before the first read.
	firstStartPause = 1500 * time.Millisecond
	// selfWritePause is the time in which a node hears of its own write of the members table.
	selfWritePause = 3 * time.Second
)

// syncMembers writes the row of this node and keeps the list of members up to date.
func (s *syncer) syncMembers(ctx context.Context) {
	if s.settings.FirstStart {
		s.writeSelf(ctx)
		sleep(ctx, firstStartPause)
	}
	s.syncTable(ctx, TableMembers, membersPause, nil, func(rows []platform.Row, changes []platform.Change, at currency.Revision) {
		// The store is reachable at this point, and a ready node must know whether its server has
		// left.
		s.departures.restoreRow(ctx)
		update := s.decodeMembers(rows, changes, at)
		s.control.pending <- func(state *state) {
			s.logIgnoredRows(state.members, update)
			s.mergeMembers(state, update)
		}
	})
}

// mergeMembers applies changes of the members table, and has the row of this node written if the store lacks it.
func (s *syncer) mergeMembers(state *state, update memberChanges) {
	state.mergeMembers(update)
	if state.members.lacks(s.self) {
		select {
		case s.selfLacking <- struct{}{}:
		default:
		}
	}
}

// keepSelf writes the row of this node whenever the store lacks it, until ctx ends.
func (s *syncer) keepSelf(ctx context.Context) {
	for {
		select {
		case <-s.selfLacking:
		case <-ctx.Done():
			return
		}
		for s.lacksSelf(ctx) {
			s.log.Info("own member row written again", zap.Uint64("era", s.control.View().MembersRevision.Era))
			s.writeSelf(ctx)
			sleep(ctx, selfWritePause)
		}
	}
}

// lacksSelf reports whether the store lacks the row of this node, unless the node is leaving.
func (s *syncer) lacksSelf(ctx context.Context) bool {
	lacking := false
	err := s.control.Do(ctx, func(state *state) { lacking = !state.leaving && state.members.lacks(s.self) })
	return err == nil && lacking
}

// logIgnoredRows logs the rows of a whole read that the node does not take because it knows newer ones.
func (s *syncer) logIgnoredRows(known *memberTable, update memberChanges) {
	if !update.Complete {
		return
	}
	var ignored []string
	for _, row := range update.Rows {
		if known.supersedes(row) && known.rows[row.ID].Member != row.Member {
			ignored = append(ignored, row.ID)
		}
	}
	if len(ignored) > 0 {
		s.metrics.MemberRowsIgnored.Add(int64(len(ignored)))
		s.log.Warn("member rows ignored", zap.Strings("nodes", ignored[:min(len(ignored), maxLoggedNodes)]), zap.Int("rows", len(ignored)),
			zap.Uint64("version", update.Revision.Version), zap.Uint64("before", known.revision.Version))
	}
}

// decodeMembers decodes rows and changes, and skips those that are malformed.
func (s *syncer) decodeMembers(rows []platform.Row, changes []platform.Change, at currency.Revision) memberChanges {
	decoded := memberChanges{Revision: at, Complete: changes == nil}
	for _, change := range changes {
		if change.Removed {
			removed := memberRow{Member: Member{ID: change.Key}, Revision: currency.Revision{Era: at.Era, Version: change.Version}, Removed: true}
			if change.Version == 0 {
				// The store may omit the version at which the row was removed.
				removed.Revision = at
			}
			decoded.Rows = append(decoded.Rows, removed)
			continue
		}
		rows = append(rows, change.Row)
	}
	for _, row := range rows {
		member := memberRow{Revision: currency.Revision{Era: at.Era, Version: row.Version}}
		err := json.Unmarshal(row.Value, &member.Member)
		if err == nil {
			err = member.validate(row.Key)
		}
		if err != nil {
			s.log.Error("invalid member row", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		decoded.Rows = append(decoded.Rows, member)
	}
	return decoded
}

// writeSelf writes the row of this node and retries until it succeeds.
func (s *syncer) writeSelf(ctx context.Context) {
	value, err := json.Marshal(s.self)
	if err != nil {
		s.log.Error("failed to encode own member row", zap.Error(err))
		return
	}
	s.persist(ctx, TableMembers, platform.Write{Key: s.self.ID, Value: value})
}

// removeSelf deletes the row of this node, whose server has left.
func (s *syncer) removeSelf(ctx context.Context) {
	s.persist(ctx, TableMembers, platform.Write{Key: s.self.ID})
}
