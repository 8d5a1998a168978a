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

// variable parts of a session and what stands for them in a golden file.
var variable = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[\d:.]+(Z|[+-]\d\d:\d\d)`), "TIME"},
	{regexp.MustCompile(`\b[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}\b`), "ID"},
	{regexp.MustCompile(`\b[0-9a-f]{16,64}\b`), "ID"},
	// The width of a column depends on the width of the values.
	{regexp.MustCompile(`  +`), " "},
	// Which router owns which service depends on its address.
	{regexp.MustCompile(`(?m)^(ADDRESS \S+ \d+) .*(serving)$`), "$1 OWNS $2"},
	// The cost of a plain service is the time that a request took.
	{regexp.MustCompile(`(?m)^((post|order)-desk \S+ \d+ \d+ \d+) \d+ \d+$`), "$1 COST NORMALIZED"},
	// The last column is the team's place in the order of service, which
	// depends on when the others were served.
	{regexp.MustCompile(`(?m)^(\S+ \S+ \d+ \d+ \d+ \d+) \d+$`), "$1 NORMALIZED"},
	// Agents take their fencing numbers in any order.
	{regexp.MustCompile(`(?m)^(.* active(?: \d+){4}) \d+ ADDRESS$`), "$1 FENCING ADDRESS"},
}

func normalize(text string) string {
	for _, v := range variable {
		text = v.pattern.ReplaceAllString(text, v.text)
	}
	return sortRouters(text)
}

// sortRouters orders the neighbouring lines that begin with an address, which
// the operators' tool orders by the address.
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

// Guards against a demonstration that doesn't run, and against changes of what
// an operator and a caller see.
func TestDemoSession(t *testing.T) {
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	ctx, cancel := context.WithTimeout(t.Context(), 4*fleet.WaitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "../../scripts/demo.sh")
	// The script ends its processes on SIGTERM.
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = 10 * time.Second
	var stdout, stderr bytes.Buffer
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	must.NoError(t, cmd.Run(), must.Sprintf("%s%s", &stdout, &stderr))
	checkGolden(t, "demo.golden", normalize(stdout.String()))
}

// Guards against a check that stops at the first fault, and against faulty
// objects that reach the log.
func TestRefusedPublish(t *testing.T) {
	t.Parallel()
	f := fleet.New(t, "refused")
	result := f.ToolPublish("testdata/faulty.yaml")
	must.Eq(t, 3, result.Code)
	checkGolden(t, "refused-publish.golden", normalize("stdout:\n"+result.Stdout+"stderr:\n"+result.Stderr))
	var offsets struct {
		End int64 `json:"end_offset"`
	}
	f.Get(f.Log, "/topics/acaciaspar.config/partitions/0/offsets", &offsets)
	must.Eq(t, 0, offsets.End)
}

// Guards against example objects that an operator can't publish.
func TestExamplesPassTheCheck(t *testing.T) {
	f := fleet.New(t, "examples")
	for _, name := range []string{"lakeshore", "kagaj"} {
		files, err := filepath.Glob("../../examples/" + name + "/*.yaml")
		must.NoError(t, err)
		must.Len(t, 4, files)
		result := f.RunTool(append([]string{"check"}, files...)...)
		must.Eq(t, 0, result.Code, must.Sprintf("%s%s", result.Stdout, result.Stderr))
	}
}
