package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// runMainEnv is the environment variable that makes the test binary run main.
const runMainEnv = "TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against changes of the exit codes that scripts depend on.
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
		cmd.Env = append(os.Environ(), runMainEnv+"=1")
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
