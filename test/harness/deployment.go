package main

import "github.com/gravitational/trace"

// service is one service of a deployment.
type service struct {
	name    string
	servers int
	writes  bool
}

// deployment is one of the users' fleets at the size of today.
type deployment struct {
	name        string
	region      string
	dataCentres []string
	services    []service
	slots       int
	conns       int
	seedFile    string
	operator    string
	approver    string
}

func findDeployment(name string) (deployment, error) {
	switch name {
	case "trust":
		return deployment{
			name:        "trust",
			region:      "western",
			dataCentres: []string{"colombo", "negombo", "kalutara"},
			services:    []service{{"measures", 6, false}, {"bookings", 9, true}, {"wardrobe", 6, false}},
			slots:       6,
			conns:       350,
			seedFile:    "deploy/trust/fleet.yaml",
			operator:    "example-operator-token-trust-not-for-production",
			approver:    "example-approver-token-trust-not-for-production",
		}, nil
	case "paramo":
		return deployment{
			name:        "paramo",
			region:      "sierra",
			dataCentres: []string{"quito-norte", "quito-sur", "ambato", "cuenca"},
			services:    []service{{"vitrina", 8, false}, {"pedidos", 8, true}, {"reparto", 11, false}},
			slots:       7,
			conns:       400,
			seedFile:    "deploy/paramo/fleet.yaml",
			operator:    "example-operator-token-paramo-not-for-production",
			approver:    "example-approver-token-paramo-not-for-production",
		}, nil
	}
	return deployment{}, trace.BadParameter("there is no deployment %q; use trust or paramo", name)
}
