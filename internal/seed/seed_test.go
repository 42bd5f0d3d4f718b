package seed_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/seed"
)

// TestDeploymentsSeed guards against example seed files that fail validation, and against
// a second seed that is applied to a table in use.
func TestDeploymentsSeed(t *testing.T) {
	for _, deployment := range []string{"trust", "paramo"} {
		g, ctx, store := NewWithT(t), context.Background(), platform.NewMemory()
		file, err := seed.Load("../../deploy/" + deployment + "/fleet.yaml")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seed.Apply(ctx, store, file)).To(Succeed())
		g.Expect(seed.Apply(ctx, store, file)).To(MatchError(platform.ErrConflict))
		rows, err := store.Scan(ctx, fleet.Table, "", "", 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(rows).To(HaveLen(3 + 3 + 4 + 2 + 2))
	}
}

// TestSeedRefusesFaultyFiles guards against invalid seed files that are accepted. Nodes
// could not use their rows.
func TestSeedRefusesFaultyFiles(t *testing.T) {
	for _, text := range []string{
		"services: [{name: a, preset: trust, floor: 3}]",
		"services: [{name: a, preset: other}]",
		"services: [{name: a, preset: trust}, {name: a, preset: trust}]",
		"routes: [{id: r, prefix: /r/, service: missing}]",
		"operators: [{id: o, role: operator, token_hash: plain-token}]",
	} {
		_, err := seed.Parse([]byte(text))
		NewWithT(t).Expect(err).To(HaveOccurred(), text)
	}
}
