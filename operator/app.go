package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/acaciaspar/acaciaspar/settings"
	"github.com/acaciaspar/acaciaspar/transport/tlsconf"
)

// Exit codes of the subcommands.
const (
	// ExitOK means that the command succeeded.
	ExitOK subcommands.ExitStatus = 0
	// ExitFailed means that the command failed and changed nothing.
	ExitFailed subcommands.ExitStatus = 1
	// ExitUsage means that arguments or settings are wrong.
	ExitUsage subcommands.ExitStatus = 2
	// ExitFaults means that the checked objects have errors.
	ExitFaults subcommands.ExitStatus = 3
	// ExitRefused means that the publication was refused, or that the explained request would be.
	ExitRefused subcommands.ExitStatus = 4
	// ExitUnknown means that the outcome of the publication is unknown.
	ExitUnknown subcommands.ExitStatus = 5
)

// App holds the process resources that the subcommands use.
type App struct {
	Stdin   io.Reader
	Stdout  io.Writer
	Stderr  io.Writer
	Environ []string
	Now     func() time.Time
	// NewID generates the ID of a publication.
	NewID func() string
}

// NewApp returns an App with the resources of this process.
func NewApp() *App {
	return &App{
		Stdin:   os.Stdin,
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Environ: settings.Environ(),
		Now:     time.Now,
		NewID:   newID,
	}
}

// idBytes is the length of a publication ID, 128 bits.
const idBytes = 16

func newID() string {
	var b [idBytes]byte
	// Read never returns an error; it crashes the process if it fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Register registers the subcommands with commander.
func Register(commander *subcommands.Commander, app *App) {
	const group = "operators"
	commander.Register(app.checkCommand(), group)
	commander.Register(app.diffCommand(), group)
	commander.Register(app.publishCommand(), group)
	commander.Register(app.auditCommand(), group)
	commander.Register(app.statusCommand(), group)
	commander.Register(app.explainCommand(), group)
	commander.Register(app.versionCommand(), group)
}

// Settings holds the settings of all subcommands; each uses some of them.
type Settings struct {
	LogURL   string        `flag:"log-url" usage:"base URL of the platform's log"`
	Operator string        `flag:"operator" usage:"name of the operator, recorded with a publication (default: $USER, or the account name if it is unset)"`
	Routers  string        `flag:"routers" usage:"fleet addresses of routers, comma-separated"`
	Fleet    string        `flag:"fleet" default:"acaciaspar" usage:"name of the fleet"`
	Timeout  time.Duration `flag:"timeout" default:"20s" usage:"timeout of the command"`
	JSON     bool          `flag:"json" usage:"print JSON"`
	TLSCert  string        `flag:"tls-cert" usage:"PEM file of the certificate"`
	TLSKey   string        `flag:"tls-key" usage:"PEM file of the certificate's key"`
	TLSCA    string        `flag:"tls-ca" usage:"PEM file of the fleet's CA"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() []error {
	var errs settings.Errors
	if s.Timeout <= 0 {
		errs.Add("timeout must be above 0")
	}
	errs.AddError(s.tlsFiles().Validate())
	return errs.All()
}

func (s *Settings) tlsFiles() tlsconf.Files {
	return tlsconf.Files{Certificate: s.TLSCert, Key: s.TLSKey, CA: s.TLSCA}
}

func (s *Settings) routers() []string { return settings.List(s.Routers) }

// command implements subcommands.Command.
type command struct {
	app      *App
	name     string
	synopsis string
	// arguments is shown in the usage line.
	arguments string
	// flags registers the flags specific to this command. It may be nil.
	flags func(*flag.FlagSet)
	run   func(ctx context.Context, c *command, args []string) subcommands.ExitStatus

	settings      Settings
	loader        *settings.Loader
	environ       []string
	printSettings bool
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return fmt.Sprintf("acaciaspar %s [flags] %s\n  %s\n", c.name, c.arguments, c.synopsis)
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(fs *flag.FlagSet) {
	c.environ = filterEnviron(c.app.Environ)
	c.loader = settings.Bind(fs, &c.settings, c.environ)
	fs.BoolVar(&c.printSettings, "print-settings", false, "print the effective settings and exit")
	if c.flags != nil {
		c.flags(fs)
	}
}

// filterEnviron removes the variables of other processes, because operators also
// run the tool in the environment of a router.
func filterEnviron(environ []string) []string {
	known := map[string]bool{}
	probe := settings.Bind(flag.NewFlagSet("", flag.ContinueOnError), &Settings{}, nil)
	for _, v := range probe.Values() {
		known[settings.EnvName(v.Name)] = true
	}
	var kept []string
	for _, entry := range environ {
		name, _, _ := strings.Cut(entry, "=")
		if known[name] || !strings.HasPrefix(name, settings.EnvPrefix) {
			kept = append(kept, entry)
		}
	}
	return kept
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.loader.Finish(fs, c.environ); err != nil {
		return c.usageError("%v", err)
	}
	if c.printSettings {
		if err := c.loader.Print(c.app.Stdout); err != nil {
			return c.fail("%v", err)
		}
		return ExitOK
	}
	if c.settings.Operator == "" {
		c.settings.Operator = userName(c.environ)
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	return c.run(ctx, c, fs.Args())
}

func userName(environ []string) string {
	for _, entry := range environ {
		if name, value, _ := strings.Cut(entry, "="); name == "USER" {
			return value
		}
	}
	// USER may be unset, for example under cron or in a container.
	if account, err := user.Current(); err == nil {
		return account.Username
	}
	return ""
}

func (c *command) usageError(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(c.app.Stderr, "acaciaspar %s: %s\n", c.name, fmt.Sprintf(format, args...))
	return ExitUsage
}

func (c *command) fail(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(c.app.Stderr, "acaciaspar %s: %s\n", c.name, fmt.Sprintf(format, args...))
	return ExitFailed
}
