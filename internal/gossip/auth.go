package gossip

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// RPC methods of the handshake, in which both sides prove that they know the shared
// secret. Other methods are rejected until the handshake is complete.
const (
	methodHello = "auth.hello"
	methodProve = "auth.prove"
)

// nonceBytes is the length of a challenge nonce.
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
	_, _ = rand.Read(nonce[:]) // never returns an error, see crypto/rand
	return hex.EncodeToString(nonce[:])
}

// proof returns an HMAC over the role of one side, both node IDs and both nonces. The
// role prevents a reflection attack, in which one side's proof is sent back as the
// other's.
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
