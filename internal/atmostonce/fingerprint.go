package atmostonce

import "hash/fnv"

// Fingerprint identifies the content of a request, so that a key cannot be
// used for two different requests. It is never 0.
func Fingerprint(method, path string, body []byte) uint64 {
	h := fnv.New64a()
	h.Write([]byte(method))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	return h.Sum64() | 1
}
