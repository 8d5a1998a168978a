// Command acaciaspar-agent runs alongside one endpoint and forwards requests to it.
package main

import (
	"os"

	"github.com/acaciaspar/acaciaspar/agent"
	"github.com/acaciaspar/acaciaspar/settings"
)

func main() {
	os.Exit(agent.Main(os.Args[1:], settings.Environ(), os.Stdout, os.Stderr))
}
