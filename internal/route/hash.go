package route

// Constants of the FNV-1a hash with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashString is the same in every process, unlike hash/maphash, so that an
// entry keeps its subset over a restart.
func hashString(s string) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// mix is the finaliser of SplitMix64. FNV-1a alone leaves the high bits of
// short, similar names correlated.
func mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}

// unit maps 64 random bits to [0, 1).
func unit(bits uint64) float64 { return float64(bits>>11) / (1 << 53) }

// keyed is a source whose values depend on a key alone.
type keyed struct{ state uint64 }

func (k *keyed) next() uint64 {
	k.state++
	return mix(k.state)
}
