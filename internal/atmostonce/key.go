package atmostonce

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// keyPrefix marks keys that a node issued. A key without it was chosen by the caller.
const keyPrefix = "tk1."

// maxKeyLength bounds the text of a key that is parsed, in bytes.
const maxKeyLength = 1024

// Key binds a request to one incarnation of a host and of a backend server.
type Key struct {
	Service           string `json:"s"`
	Host              string `json:"h"`
	HostIncarnation   uint64 `json:"hi"`
	Server            string `json:"b"`
	ServerIncarnation uint64 `json:"bi"`
	// ExpiresMS is the expiry in milliseconds since 1970.
	ExpiresMS int64  `json:"e"`
	Nonce     string `json:"n"`
}

// Expires returns the expiry of the key.
func (k Key) Expires() time.Time { return time.UnixMilli(k.ExpiresMS) }

// LedgerID returns the ID under which the host records the request.
func (k Key) LedgerID() string { return "k/" + k.Nonce }

// NewNonce returns a random nonce.
func NewNonce() string {
	var data [16]byte
	rand.Read(data[:])
	return hex.EncodeToString(data[:])
}

// Signer issues and verifies keys.
type Signer struct{ secret []byte }

// NewSigner returns a signer whose MAC key derives from the fleet's secret.
func NewSigner(secret string) *Signer {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte("tarragonford idempotency key"))
	return &Signer{secret: mac.Sum(nil)}
}

// Issue encodes and signs a key.
func (s *Signer) Issue(key Key) string {
	payload, err := json.Marshal(key)
	if err != nil {
		panic(err) // encoding a struct of strings and numbers cannot fail
	}
	body := base64.RawURLEncoding.EncodeToString(payload)
	return keyPrefix + body + "." + base64.RawURLEncoding.EncodeToString(s.sign(body))
}

func (s *Signer) sign(body string) []byte {
	mac := hmac.New(sha256.New, s.secret)
	mac.Write([]byte(body))
	return mac.Sum(nil)[:16]
}

// IsBound reports whether the text has the prefix of a key that a node issued.
func IsBound(text string) bool { return strings.HasPrefix(text, keyPrefix) }

// Parse verifies and decodes the text of a key. It does not check the expiry, because only the
// clock of the host decides whether a key has expired. The error has code KeyInvalid.
func (s *Signer) Parse(text string) (Key, error) {
	var key Key
	if len(text) > maxKeyLength {
		return key, codes.KeyInvalid.New("the key is longer than %d bytes", maxKeyLength)
	}
	body, mac, found := strings.Cut(strings.TrimPrefix(text, keyPrefix), ".")
	if !found || !IsBound(text) {
		return key, codes.KeyInvalid.New("the key is malformed")
	}
	sum, err := base64.RawURLEncoding.DecodeString(mac)
	if err != nil || !hmac.Equal(sum, s.sign(body)) {
		return key, codes.KeyInvalid.New("the MAC does not match")
	}
	payload, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return key, codes.KeyInvalid.New("the key is malformed")
	}
	if err := json.Unmarshal(payload, &key); err != nil {
		return key, codes.KeyInvalid.New("the key is malformed")
	}
	return key, nil
}
