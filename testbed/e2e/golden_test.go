package e2e

import (
	"bytes"
	"context"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// replacements are the variable parts of the output and their placeholders in
// golden files.
var replacements = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[\d:.]+(Z|[+-]\d\d:\d\d)`), "TIME"},
	{regexp.MustCompile(`\b[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}\b`), "ID"},
	{regexp.MustCompile(`\b[0-9a-f]{16,64}\b`), "ID"},
	// Column widths depend on the widths of the values.
	{regexp.MustCompile(`  +`), " "},
	// The services that a router owns depend on its address.
	{regexp.MustCompile(`(?m)^(ADDRESS \S+ \d+) .*(serving)$`), "$1 OWNS $2"},
	// The cost of a plain service is the duration of the request.
	{regexp.MustCompile(`(?m)^((post|order)-desk \S+ \d+ \d+ \d+) \d+ \d+$`), "$1 COST NORMALIZED"},
	// The last column is the team's position in the service order, which
	// depends on when the other teams were served.
	{regexp.MustCompile(`(?m)^(\S+ \S+ \d+ \d+ \d+ \d+) \d+$`), "$1 NORMALIZED"},
	// Agents get their fencing numbers in any order.
	{regexp.MustCompile(`(?m)^(.* active(?: \d+){4}) \d+ ADDRESS$`), "$1 FENCING ADDRESS"},
}

func normalize(text string) string {
	for _, v := range replacements {
		text = v.pattern.ReplaceAllString(text, v.text)
	}
	return sortRouters(text)
}

// sortRouters sorts adjacent lines that begin with an address. The operators'
// tool sorts them by address, which differs from run to run.
func sortRouters(text string) string {
	lines := strings.Split(text, "\n")
	for i := 1; i < len(lines); i++ {
		for j := i; j > 0 && strings.HasPrefix(lines[j], "ADDRESS") && strings.HasPrefix(lines[j-1], "ADDRESS") && lines[j] < lines[j-1]; j-- {
			lines[j], lines[j-1] = lines[j-1], lines[j]
		}
	}
	return strings.Join(lines, "\n")
}

func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		must.NoError(t, os.WriteFile(path, []byte(got), 0o600))
		return
	}
	want, err := os.ReadFile(path)
	must.NoError(t, err)
	must.Eq(t, string(want), got)
}

// Guards against a demo script that fails, and against unintended changes to the
// output for operators and callers.
func TestDemoSession(t *testing.T) {
	t.Parallel()
	fleetSemaphore <- struct{}{}
	t.Cleanup(func() { <-fleetSemaphore })
	ctx, cancel := context.WithTimeout(t.Context(), 4*fleet.WaitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "../../scripts/demo.sh")
	// The script stops its processes on SIGTERM.
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = 10 * time.Second
	var stdout, stderr bytes.Buffer
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	must.NoError(t, cmd.Run(), must.Sprintf("%s%s", &stdout, &stderr))
	checkGolden(t, "demo.golden", normalize(stdout.String()))
}

// Guards against a check that stops at the first error, and against invalid
// objects that are written to the log.
func TestInvalidObjectsAreNotPublished(t *testing.T) {
	t.Parallel()
	f := fleet.New(t, "refused")
	result := f.RunPublish("testdata/faulty.yaml")
	must.Eq(t, 3, result.Code)
	checkGolden(t, "refused-publish.golden", normalize("stdout:\n"+result.Stdout+"stderr:\n"+result.Stderr))
	var offsets struct {
		End int64 `json:"end_offset"`
	}
	f.Get(f.Log, "/topics/acaciaspar.config/partitions/0/offsets", &offsets)
	must.Eq(t, 0, offsets.End)
}

// Guards against example objects that can't be published.
func TestExamplesAreValid(t *testing.T) {
	f := fleet.New(t, "examples")
	for _, name := range []string{"lakeshore", "kagaj"} {
		files, err := filepath.Glob("../../examples/" + name + "/*.yaml")
		must.NoError(t, err)
		must.Len(t, 4, files)
		result := f.RunTool(append([]string{"check"}, files...)...)
		must.Eq(t, 0, result.Code, must.Sprintf("%s%s", result.Stdout, result.Stderr))
	}
}
