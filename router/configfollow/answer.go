package configfollow

import (
	"context"
	"time"
)

// firstAnswer returns what the first of several calls returns. Another call begins after each interval
// in which none has returned, as a call to a log that was silent may never be answered. All calls end
// after timeout, or with the first that returns.
func firstAnswer[T any](ctx context.Context, timeout, interval time.Duration, call func(context.Context) (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan answer)
	begin := func() {
		value, err := call(ctx)
		select {
		case answers <- answer{value, err}:
		case <-ctx.Done():
		}
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		go begin()
		select {
		case a := <-answers:
			return a.value, a.err
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		case <-ticker.C:
		}
	}
}
