package fleet

import (
	"crypto/sha256"
	"encoding/hex"
)

// Role is the set of actions that an operator may perform.
type Role string

// Roles. Both may read; neither includes the permissions of the other.
const (
	// RoleOperator may create, plan, confirm and cancel intents.
	RoleOperator Role = "operator"
	// RoleApprover may approve and cancel intents. It is held by the legal or
	// compliance department.
	RoleApprover Role = "approver"
)

// Operator is a user of the administration API.
type Operator struct {
	// ID names the person or department.
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// TokenHash is the SHA-256 of the token in lower-case hexadecimal digits.
	// A plain fast hash suffices because tokens are long and random.
	TokenHash string `json:"token_hash"`
}

// HashToken returns the hash of a token as stored in Operator.TokenHash.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
