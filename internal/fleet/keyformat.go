package fleet

import "fmt"

// ChangeKey returns the key of the change row for a value of the change counter.
func ChangeKey(version uint64) string { return fmt.Sprintf("%s%012d", PrefixChange, version) }

// AuditKey returns the key of the audit row for a step of an intent.
func AuditKey(intent string, step int) string {
	return fmt.Sprintf("%s%s/%06d", PrefixAudit, intent, step)
}
