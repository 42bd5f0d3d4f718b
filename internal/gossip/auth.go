package gossip

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// Methods of the handshake. Both sides prove that they know the shared secret;
// every other method is refused before that.
const (
	methodHello = "auth.hello"
	methodProve = "auth.prove"
)

// nonceBytes is the length of a challenge.
const nonceBytes = 16

type helloParams struct {
	From  string `json:"from"`
	Nonce string `json:"nonce"`
}

type helloResult struct {
	ID    string `json:"id"`
	Nonce string `json:"nonce"`
	Proof string `json:"proof"`
}

type proveParams struct {
	Proof string `json:"proof"`
}

func newNonce() string {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:]) // never fails, see crypto/rand
	return hex.EncodeToString(nonce[:])
}

// proof is the HMAC of one side's role over both identities and both nonces.
// The role keeps one side's proof from being reflected as the other's.
func proof(secret, role, dialler, acceptor, diallerNonce, acceptorNonce string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	for _, part := range []string{role, dialler, acceptor, diallerNonce, acceptorNonce} {
		mac.Write([]byte(part))
		mac.Write([]byte{0})
	}
	return hex.EncodeToString(mac.Sum(nil))
}

func proofMatches(want, got string) bool {
	return hmac.Equal([]byte(want), []byte(got))
}
