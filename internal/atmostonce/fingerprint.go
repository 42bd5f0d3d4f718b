package atmostonce

import "hash/fnv"

// Fingerprint returns a hash of the content of a request, by which the use of one key for two
// different requests is detected. It is never 0.
func Fingerprint(method, path string, body []byte) uint64 {
	h := fnv.New64a()
	h.Write([]byte(method))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	return h.Sum64() | 1
}
