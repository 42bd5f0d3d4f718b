package fleet

import (
	"crypto/sha256"
	"encoding/hex"
)

// Role says what an identity may do.
type Role string

// The roles. Both may read; neither may do the work of the other.
const (
	// RoleOperator may create, plan, confirm and cancel intents.
	RoleOperator Role = "operator"
	// RoleApprover may approve and cancel intents. It belongs to the legal or
	// compliance department.
	RoleApprover Role = "approver"
)

// Operator is an identity of the administration API.
type Operator struct {
	// ID names the person or department.
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// TokenHash is the SHA-256 of the token in lower-case hexadecimal digits.
	// A plain hash suffices because tokens are long and random.
	TokenHash string `json:"token_hash"`
}

// HashToken returns the hash under which a token is kept.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
