package fleet_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Guards against a key that opens an account other than its own, or none.
func TestKeysBelongToTheirAccount(t *testing.T) {
	g := NewWithT(t)
	keys, err := fleet.NewAccountKeys([]fleet.AccountKey{{Account: "a", Key: "k1"}, {Account: "a", Key: "k2"}, {Account: "b", Key: "k3"}})
	g.Expect(err).NotTo(HaveOccurred())
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		account, ok := keys.Find(key)
		g.Expect(ok).To(BeTrue())
		g.Expect(account).To(Equal(want))
	}
	for _, unknown := range []string{"", "k", "k11", "K1"} {
		_, ok := keys.Find(unknown)
		g.Expect(ok).To(BeFalse(), unknown)
	}
}

// Guards against an index that lets one of two accounts act as the other, and against an error that
// shows the key.
func TestAKeyOfTwoAccountsIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, err := fleet.NewAccountKeys([]fleet.AccountKey{{Account: "a", Key: "secret"}, {Account: "b", Key: "other"}, {Account: "b", Key: "secret"}})
	var duplicate *fleet.DuplicateKeyError
	g.Expect(errors.As(err, &duplicate)).To(BeTrue())
	g.Expect(*duplicate).To(Equal(fleet.DuplicateKeyError{First: 0, Second: 2}))
	g.Expect(err.Error()).NotTo(ContainSubstring("secret"))
}

func BenchmarkFindKey(b *testing.B) {
	const accounts = 48_000
	list := make([]fleet.AccountKey, accounts)
	for i := range list {
		list[i] = fleet.AccountKey{Account: fmt.Sprintf("account-%05d", i), Key: fmt.Sprintf("uakn2ftimaj3nr%06d", i)}
	}
	keys, err := fleet.NewAccountKeys(list)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := keys.Find(list[i%accounts].Key); !ok {
			b.Fatal("a key is missing")
		}
	}
}
