package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/api"
)

// adminNodes is the number of nodes that a command may try in turn.
const adminNodes = 3

// ctl runs tarragonctl with the token of an identity and decodes its JSON.
func (f *fleet) ctl(token string, result any, args ...string) error {
	var all []string
	for _, i := range f.instances[:min(adminNodes, len(f.instances))] {
		all = append(all, "--node", "http://"+i.addr(listenAdmin))
	}
	cmd := exec.Command(filepath.Join("bin", "tarragonctl"), append(append(all, "--output", "json"), args...)...)
	cmd.Env = append(os.Environ(), "TARRAGON_TOKEN="+token)
	var stdout, stderr bytes.Buffer
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	if err := cmd.Run(); err != nil {
		return trace.BadParameter("tarragonctl %v: %v: %s", args, err, stderr.String())
	}
	return trace.Wrap(json.Unmarshal(stdout.Bytes(), result))
}

// withdraw takes a backend server out of service: an intent, its plan, and the
// confirmations of the operator and of the approving department.
func (f *fleet) withdraw(server string) error {
	in, err := f.planWithdrawal(server)
	if err != nil {
		return err
	}
	if err := f.accept(in); err != nil {
		return err
	}
	fmt.Printf("%s is withdrawn by intent %s\n", server, in.ID)
	return nil
}

func (f *fleet) planWithdrawal(server string) (api.Intent, error) {
	var in api.Intent
	err := f.ctl(f.deployment.operator, &in, "intent", "withdraw", "server", server, "--reason", "harness")
	return in, err
}

// accept confirms and approves the newest plan of an intent.
func (f *fleet) accept(in api.Intent) error {
	if in.Plan == nil {
		return trace.BadParameter("intent %s has no plan; it is %s", in.ID, in.State)
	}
	plan := fmt.Sprint(in.Plan.Number)
	var done api.Intent
	if err := f.ctl(f.deployment.operator, &done, "confirm", in.ID, "--plan", plan); err != nil {
		return err
	}
	return f.ctl(f.deployment.approver, &done, "approve", in.ID, "--plan", plan)
}
