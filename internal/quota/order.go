package quota

import "hash/fnv"

// Node is the hash of a node's ID.
type Node uint64

// HashNode returns the hash of a node's ID.
func HashNode(id string) Node { return Node(hash(id)) }

func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// weight orders the nodes of an account: the node with the greatest weight comes first (rendezvous
// hashing). The mixing function is that of SplitMix64.
func weight(account uint64, node Node) uint64 {
	z := account ^ uint64(node)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Homes returns the first count members in the order of an account.
func Homes(account string, members []Node, count int) []Node {
	key := hash(account)
	homes := make([]Node, 0, count+1)
	for _, node := range members {
		at := len(homes)
		for at > 0 && weight(key, homes[at-1]) < weight(key, node) {
			at--
		}
		if at == count {
			continue
		}
		homes = append(homes, 0)
		copy(homes[at+1:], homes[at:])
		homes[at] = node
		homes = homes[:min(len(homes), count)]
	}
	return homes
}

// rank returns the position of a node in the order of an account.
func rank(account string, members []Node, of Node) int {
	key, position := hash(account), 0
	for _, node := range members {
		if weight(key, node) > weight(key, of) {
			position++
		}
	}
	return position
}
