package bench

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against columns shifted by a space in the process name.
func TestParseProcFiles(t *testing.T) {
	cpu, err := parseCPUTime("12 (a b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0")
	must.NoError(t, err)
	must.Eq(t, 2*time.Second, cpu)
	_, err = parseCPUTime("12 (a) S 1")
	must.Error(t, err)
	memory, err := parseResidentMemory("Name:\ta\nVmRSS:\t    2048 kB\n")
	must.NoError(t, err)
	must.Eq(t, 2<<20, memory)
	_, err = parseResidentMemory("Name:\ta\n")
	must.Error(t, err)
}
