package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// runMain makes the test binary behave as the program.
const runMain = "TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against exit codes that scripts can't rely on.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	must.NoError(t, os.WriteFile(bad, []byte("kind: Lease\n"), 0o600))
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"version"}, 0},
		{[]string{"help"}, 0},
		{[]string{"diff", "-print-settings"}, 0},
		{[]string{"status"}, 1},
		{nil, 2},
		{[]string{"no-such-command"}, 2},
		{[]string{"check", "-no-such-flag"}, 2},
		{[]string{"check", bad}, 3},
	} {
		cmd := exec.Command(os.Args[0], c.args...)
		cmd.Env = append(os.Environ(), runMain+"=1")
		err := cmd.Run()
		var exit *exec.ExitError
		got := 0
		if errors.As(err, &exit) {
			got = exit.ExitCode()
		} else {
			must.NoError(t, err)
		}
		must.Eq(t, c.want, got, must.Sprint(c.args))
	}
}
