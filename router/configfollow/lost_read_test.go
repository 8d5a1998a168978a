package configfollow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a configuration that comes into force late because a read that began while the log was
// silent is never answered, and outlives the silence: whenever it ends in the life of the read, another
// one is answered within the interval.
func TestLostReadDoesNotOutliveTheSilence(t *testing.T) {
	for end := 100 * time.Millisecond; end < logTimeout; end += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			var calls atomic.Int64
			answer, err := firstAnswer(t.Context(), logTimeout, minReadTimeout, func(ctx context.Context) (string, error) {
				calls.Add(1)
				if time.Since(began) < end {
					<-ctx.Done()
					return "", ctx.Err()
				}
				return "records", nil
			})
			if time.Since(began) == logTimeout {
				must.Greater(t, logTimeout-minReadTimeout, end, must.Sprint("no call began after the silence"))
				return
			}
			must.NoError(t, err)
			must.Eq(t, "records", answer)
			must.LessEq(t, minReadTimeout, time.Since(began)-end)
			must.LessEq(t, int64(end/minReadTimeout)+2, calls.Load())
		})
	}
}

// Guards against reads that go on after the caller has its answer, or that wait for others after an error.
func TestFirstAnswerEndsTheOtherCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended atomic.Int64
		_, err := firstAnswer(t.Context(), logTimeout, time.Second, func(ctx context.Context) (int, error) {
			if deadline, _ := ctx.Deadline(); time.Until(deadline) < logTimeout {
				return 0, errNoHigherVersion
			}
			<-ctx.Done()
			ended.Add(1)
			return 0, ctx.Err()
		})
		must.ErrorIs(t, err, errNoHigherVersion)
		synctest.Wait()
		must.Eq(t, 1, ended.Load())
	})
}
