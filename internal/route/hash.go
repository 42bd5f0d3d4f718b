package route

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashString returns the FNV-1a hash of s. Unlike hash/maphash it is the same in
// every process, so that an entry keeps its subset across restarts.
func hashString(s string) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// splitMix64 is the finaliser of the SplitMix64 generator. FNV-1a alone leaves the high bits of
// short, similar names correlated.
func splitMix64(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}

// unitFloat maps 64 random bits to a float in [0, 1).
func unitFloat(bits uint64) float64 { return float64(bits>>11) / (1 << 53) }

// keyedSource is a deterministic source of random bits, seeded from a key.
type keyedSource struct{ state uint64 }

func (k *keyedSource) next() uint64 {
	k.state++
	return splitMix64(k.state)
}
