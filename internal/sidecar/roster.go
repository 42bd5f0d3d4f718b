package sidecar

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/pick"
)

// MemberIndex is an immutable list of the nodes with the lookup tables that requests and beacons
// need. It is built only when the list changes, because most changes of the control state, such as
// heartbeats, do not affect it.
type MemberIndex struct {
	// Members are all nodes by ID, including the local one.
	Members map[string]Member
	// Services lists the nodes beside the servers of each service.
	Services map[string]*Pool
	// byKey holds the nodes by their beacon keys, except for keys that several nodes share.
	byKey map[beacon.NodeHash]Member
	// byAddr holds the IDs of the other nodes by their hop addresses.
	byAddr map[string]string
	// localPeers are the other nodes of the local data centre, and remotePeers those of each other
	// data centre, all ordered by ID.
	localPeers  []peer
	remotePeers [][]peer
	// localAddrs are the hop addresses of localPeers.
	localAddrs map[string]bool
	// localKeys are the beacon keys of the nodes of the local data centre; that of the local node
	// comes first.
	localKeys []beacon.NodeHash
	// keysBefore are the localKeys that have precedence over the local node in watching the store.
	keysBefore []beacon.NodeHash
	// invalidBeaconAddrs are the IDs of nodes whose beacon address cannot be parsed.
	invalidBeaconAddrs []string
}

// Pool lists the nodes of one service. Members and Candidates have the same order.
type Pool struct {
	Members    []Member
	Candidates []pick.Candidate
}

// peer is another node as a destination of beacons.
type peer struct {
	id   string
	key  beacon.NodeHash
	addr netip.AddrPort
}

// newMemberIndex returns the index for the local node. It does not retain members.
func newMemberIndex(self Member, members map[string]Member) *MemberIndex {
	r := &MemberIndex{
		Members:    make(map[string]Member, len(members)),
		Services:   map[string]*Pool{},
		localAddrs: map[string]bool{},
		byKey:      make(map[beacon.NodeHash]Member, len(members)),
		byAddr:     make(map[string]string, len(members)),
		localKeys:  []beacon.NodeHash{beacon.HashNode(self.ID)},
	}
	sorted := make([]Member, 0, len(members))
	for _, member := range members {
		sorted = append(sorted, member)
	}
	slices.SortFunc(sorted, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	shared := map[beacon.NodeHash]bool{}
	for _, member := range sorted {
		r.Members[member.ID] = member
		r.addToPool(member)
		if member.ID != self.ID {
			r.byAddr[member.Addr] = member.ID
		}
		key := beacon.HashNode(member.ID)
		if _, taken := r.byKey[key]; taken {
			shared[key] = true
		}
		r.byKey[key] = member
	}
	for key := range shared {
		delete(r.byKey, key)
	}
	r.addPeers(self, sorted)
	return r
}

func (r *MemberIndex) addToPool(member Member) {
	pool := r.Services[member.Service]
	if pool == nil {
		pool = &Pool{}
		r.Services[member.Service] = pool
	}
	pool.Members = append(pool.Members, member)
	pool.Candidates = append(pool.Candidates, pick.Candidate{ID: member.ID, DataCentre: member.DataCentre, Region: member.Region})
}

func (r *MemberIndex) addPeers(self Member, sorted []Member) {
	groupIndexes := map[string]int{}
	for _, member := range sorted {
		if member.ID == self.ID {
			continue
		}
		addr, err := netip.ParseAddrPort(member.Beacon)
		if err != nil {
			r.invalidBeaconAddrs = append(r.invalidBeaconAddrs, member.ID)
			continue
		}
		p := peer{id: member.ID, key: beacon.HashNode(member.ID), addr: addr}
		if member.DataCentre == self.DataCentre {
			r.localPeers = append(r.localPeers, p)
			r.localAddrs[member.Addr] = true
			r.localKeys = append(r.localKeys, p.key)
			if p.key < r.localKeys[0] {
				r.keysBefore = append(r.keysBefore, p.key)
			}
			continue
		}
		groupIndex, known := groupIndexes[member.DataCentre]
		if !known {
			groupIndex = len(r.remotePeers)
			groupIndexes[member.DataCentre] = groupIndex
			r.remotePeers = append(r.remotePeers, nil)
		}
		r.remotePeers[groupIndex] = append(r.remotePeers[groupIndex], p)
	}
}

// largestDataCentre returns the number of nodes of the largest data centre; 0 if there is only one.
func (r *MemberIndex) largestDataCentre() int {
	if len(r.remotePeers) == 0 {
		return 0
	}
	largest := len(r.localKeys)
	for _, nodes := range r.remotePeers {
		largest = max(largest, len(nodes))
	}
	return largest
}
