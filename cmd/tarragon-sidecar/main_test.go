package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// runAsProgram makes the test binary run the program instead of its tests.
const runAsProgram = "TARRAGON_SIDECAR_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against a process that a SIGHUP ends while it starts: the platform sends one whenever the settings
// change, and its default action is to end the process. Here the process waits for its settings.
func TestAStartingProcessOutlivesASIGHUP(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "node.yaml")
	g.Expect(syscall.Mkfifo(path, 0o600)).To(Succeed())
	process := exec.Command(os.Args[0], "--config", path)
	process.Env = append(os.Environ(), runAsProgram+"=1")
	var stderr bytes.Buffer
	process.Stderr = &stderr
	g.Expect(process.Start()).To(Succeed())
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	t.Cleanup(func() { _ = process.Process.Kill() })

	// Opening the other end waits until the process reads its settings.
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(process.Process.Signal(syscall.SIGHUP)).To(Succeed())
	g.Consistently(ended, "300ms").ShouldNot(Receive())
	_, err = settings.WriteString("node: [not, a, name]\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(settings.Close()).To(Succeed())
	g.Eventually(ended, 10*time.Second).Should(Receive())
	g.Expect(process.ProcessState.Exited()).To(BeTrue(), "ended by %v", process.ProcessState)
	g.Expect(stderr.String()).To(ContainSubstring(program + ":"))
}
