package configfollow

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a read rate of the log that grows with the fleet, and against a poll
// interval that exceeds the 4 s within which a new version must take effect.
func TestPollInterval(t *testing.T) {
	tests := map[int]time.Duration{
		1:   250 * time.Millisecond,
		62:  250 * time.Millisecond,
		100: 400 * time.Millisecond,
		520: 2 * time.Second,
		900: 2 * time.Second,
	}
	for routers, want := range tests {
		must.Eq(t, want, pollInterval(DefaultPollInterval, routers))
	}
	for range 1000 {
		d := jittered(time.Second)
		must.Between(t, 800*time.Millisecond, d, 1200*time.Millisecond)
	}
}
