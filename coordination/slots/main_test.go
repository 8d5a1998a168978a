package slots

import (
	"flag"
	"os"
	"testing"
)

// propertySeed is the default seed of the property tests, so that every run
// generates the same schedules. The flag -rapid.seed overrides it.
const propertySeed = "20261204"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", propertySeed); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
