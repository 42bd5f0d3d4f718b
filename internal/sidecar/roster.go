package sidecar

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/pick"
)

// Roster is an immutable list of the nodes with what requests and beacons look up
// in it. It is built once for each change of the list, because most changes of the
// control state, such as heartbeats, leave the list as it is.
type Roster struct {
	// Members are all nodes by ID, the own one included.
	Members map[string]Member
	// Services lists the nodes beside the servers of each service.
	Services map[string]*Pool
	// byKey holds the nodes by their names in beacons, except names that several
	// nodes share.
	byKey map[beacon.NodeHash]Member
	// near are the other nodes of the own data centre, and far those of each
	// other one, all in the order of their IDs.
	near []peer
	far  [][]peer
	// nearAddrs are the addresses of near for hops.
	nearAddrs map[string]bool
	// localKeys are the names of the nodes of the own data centre in beacons, the
	// own one first.
	localKeys []beacon.NodeHash
	// ahead are those of localKeys that go before the own node in following the
	// store.
	ahead []beacon.NodeHash
	// misaddressed are the nodes whose address for beacons cannot be read.
	misaddressed []string
}

// Pool is the nodes of one service. Members and Candidates go together.
type Pool struct {
	Members    []Member
	Candidates []pick.Candidate
}

// peer is another node as beacons are sent to it.
type peer struct {
	id   string
	addr netip.AddrPort
}

// newRoster returns the roster of a node. members are not kept.
func newRoster(self Member, members map[string]Member) *Roster {
	r := &Roster{
		Members:   make(map[string]Member, len(members)),
		Services:  map[string]*Pool{},
		nearAddrs: map[string]bool{},
		byKey:     make(map[beacon.NodeHash]Member, len(members)),
		localKeys: []beacon.NodeHash{beacon.HashNode(self.ID)},
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

func (r *Roster) addToPool(member Member) {
	pool := r.Services[member.Service]
	if pool == nil {
		pool = &Pool{}
		r.Services[member.Service] = pool
	}
	pool.Members = append(pool.Members, member)
	pool.Candidates = append(pool.Candidates, pick.Candidate{ID: member.ID, DataCentre: member.DataCentre, Region: member.Region})
}

func (r *Roster) addPeers(self Member, sorted []Member) {
	places := map[string]int{}
	for _, member := range sorted {
		if member.ID == self.ID {
			continue
		}
		addr, err := netip.ParseAddrPort(member.Beacon)
		if err != nil {
			r.misaddressed = append(r.misaddressed, member.ID)
			continue
		}
		p := peer{id: member.ID, addr: addr}
		if member.DataCentre == self.DataCentre {
			r.near = append(r.near, p)
			r.nearAddrs[member.Addr] = true
			key := beacon.HashNode(member.ID)
			r.localKeys = append(r.localKeys, key)
			if key < r.localKeys[0] {
				r.ahead = append(r.ahead, key)
			}
			continue
		}
		place, known := places[member.DataCentre]
		if !known {
			place = len(r.far)
			places[member.DataCentre] = place
			r.far = append(r.far, nil)
		}
		r.far[place] = append(r.far[place], p)
	}
}
