package slots

import (
	"flag"
	"os"
	"testing"
)

// propertySeed makes every run of the property tests draw the same schedules;
// -rapid.seed selects others.
const propertySeed = "20261204"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", propertySeed); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
