package operator

import (
	"context"
	"encoding/hex"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/state/objects"
)

// checkOutput is the JSON output of check, and of diff and publish if the set has
// errors.
type checkOutput struct {
	Objects int             `json:"objects"`
	Hash    string          `json:"hash,omitempty"`
	Faults  []objects.Fault `json:"faults"`
}

func (a *App) checkCommand() subcommands.Command {
	return &command{app: a, name: "check", arguments: "FILE...",
		synopsis: "check the objects in files", run: runCheck}
}

func runCheck(_ context.Context, c *command, args []string) subcommands.ExitStatus {
	set, status := c.load(args)
	if set == nil {
		return status
	}
	hash := set.Hash()
	if c.settings.JSON {
		c.printJSON(checkOutput{Objects: set.Size(), Hash: hex.EncodeToString(hash[:]), Faults: []objects.Fault{}})
		return ExitOK
	}
	c.printf("%d objects, no faults\n", set.Size())
	return ExitOK
}

// load reads and checks files. If they are invalid, it prints the errors and returns
// a nil set and the exit code.
func (c *command) load(files []string) (*objects.Set, subcommands.ExitStatus) {
	if len(files) == 0 {
		return nil, c.usageError("name at least one file")
	}
	var sources []objects.Source
	for _, name := range files {
		data, err := c.readFile(name)
		if err != nil {
			return nil, c.fail("%v", err)
		}
		sources = append(sources, objects.Source{Name: name, Data: data})
	}
	set, faults := objects.Load(sources...)
	if set != nil {
		return set, ExitOK
	}
	if c.settings.JSON {
		c.printJSON(checkOutput{Faults: faults})
		return nil, ExitFaults
	}
	for _, fault := range faults {
		c.printf("%s\n", sanitize(fault.String()))
	}
	c.printf("%d faults\n", len(faults))
	return nil, ExitFaults
}

// readFile reads a file, or standard input if name is "-".
func (c *command) readFile(name string) ([]byte, error) {
	if name == "-" {
		return readLimited(c.app.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrap(err, "open file")
	}
	defer f.Close()
	return readLimited(f)
}

// readLimited reads at most one byte more than the limit; the parser reports that
// the limit is exceeded.
func readLimited(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, objects.MaxInputBytes+1))
	return data, eris.Wrap(err, "read file")
}
