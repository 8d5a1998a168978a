package operator

import (
	"context"
	"runtime/debug"

	"github.com/google/subcommands"
)

type versionOutput struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func (a *App) versionCommand() subcommands.Command {
	return &command{app: a, name: "version", synopsis: "print the version of this program", run: runVersion}
}

func runVersion(_ context.Context, c *command, _ []string) subcommands.ExitStatus {
	out := buildVersion()
	if c.settings.JSON {
		c.printJSON(out)
		return ExitOK
	}
	c.printf("acaciaspar %s %s %s\n", out.Version, out.Revision, out.Go)
	return ExitOK
}

func buildVersion() versionOutput {
	out := versionOutput{Version: "(devel)"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return out
	}
	out.Version, out.Go = info.Main.Version, info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			out.Revision = s.Value
		}
	}
	return out
}
