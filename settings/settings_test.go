package settings

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

type sample struct {
	Listen       string        `flag:"listen" default:"127.0.0.1:0" usage:"address"`
	QueueTimeout time.Duration `flag:"queue-timeout" default:"60s" usage:"limit"`
	Count        int           `flag:"count" default:"3" usage:"number"`
	Key          string        `flag:"key" usage:"key" secret:"true"`
	On           bool          `flag:"on" usage:"switch"`
}

func (s *sample) Validate() []error {
	if s.Count < 0 {
		return []error{fmt.Errorf("count must not be negative")}
	}
	return nil
}

func load(t *testing.T, environ []string, args ...string) (*sample, *Loader, error) {
	t.Helper()
	var s sample
	fs := flag.NewFlagSet("test", flag.ContinueOnError)
	l := Bind(fs, &s, environ)
	must.NoError(t, fs.Parse(args))
	return &s, l, l.Finish(fs, environ)
}

// Guards against a wrong precedence between default, environment and flag.
func TestFlagOverridesEnvironmentOverridesDefault(t *testing.T) {
	s, l, err := load(t, []string{"ACACIASPAR_QUEUE_TIMEOUT=5s", "ACACIASPAR_COUNT=4", "ACACIASPAR_KEY=abc"}, "-count", "5", "-on")
	must.NoError(t, err)
	must.Eq(t, sample{Listen: "127.0.0.1:0", QueueTimeout: 5 * time.Second, Count: 5, Key: "abc", On: true}, *s)
	var out strings.Builder
	must.NoError(t, l.Print(&out))
	must.StrContains(t, out.String(), "(set)")
	must.StrNotContains(t, out.String(), "abc")
	must.Eq(t, FromFlag, l.Values()[2].Source)
	must.Eq(t, FromEnvironment, l.Values()[1].Source)
}

// Guards against reporting only the first error.
func TestFinishReportsAllErrors(t *testing.T) {
	_, _, err := load(t, []string{"ACACIASPAR_QUEUE_TIMEOUT=soon", "ACACIASPAR_NO_SUCH=1"}, "-count", "-1")
	must.ErrorContains(t, err, "ACACIASPAR_QUEUE_TIMEOUT")
	must.ErrorContains(t, err, "ACACIASPAR_NO_SUCH: unknown setting")
	must.ErrorContains(t, err, "count must not be negative")
}
