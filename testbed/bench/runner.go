package bench

import (
	"fmt"
	"io"
	"os"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

// fatalError is the panic value with which Fatalf passes its message to WithRunner.
type fatalError struct{ message string }

// runner implements fleet.Runner outside of tests. Fatalf must be called on the
// goroutine that called WithRunner. Its mutex guards all fields below it.
type runner struct {
	out io.Writer

	mu      sync.Mutex
	cleanup []func()
	errors  []string
}

// WithRunner calls body with a runner and then runs the registered cleanup
// functions. It returns the first error that body reported.
func WithRunner(out io.Writer, body func(runner fleet.Runner)) (err error) {
	r := &runner{out: out}
	defer func() {
		r.runCleanup()
		if len(r.errors) > 0 && err == nil {
			err = eris.New(r.errors[0])
		}
	}()
	defer func() {
		switch f := recover().(type) {
		case nil:
		case fatalError:
			r.Errorf("%s", f.message)
		default:
			r.runCleanup()
			panic(f)
		}
	}()
	body(r)
	return nil
}

// runCleanup calls the registered cleanup functions, last registered first.
func (r *runner) runCleanup() {
	r.mu.Lock()
	cleanup := r.cleanup
	r.cleanup = nil
	r.mu.Unlock()
	for _, f := range slices.Backward(cleanup) {
		f()
	}
}

// Helper implements fleet.Runner.
func (r *runner) Helper() {}

// Logf implements fleet.Runner.
func (r *runner) Logf(format string, args ...any) {
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Errorf implements fleet.Runner.
func (r *runner) Errorf(format string, args ...any) {
	r.mu.Lock()
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
	r.mu.Unlock()
	r.Logf(format, args...)
}

// Fatalf implements fleet.Runner.
func (r *runner) Fatalf(format string, args ...any) {
	panic(fatalError{fmt.Sprintf(format, args...)})
}

// Cleanup implements fleet.Runner.
func (r *runner) Cleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanup = append(r.cleanup, f)
}

// Failed implements fleet.Runner.
func (r *runner) Failed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.errors) > 0
}

// TempDir implements fleet.Runner.
func (r *runner) TempDir() string {
	dir, err := os.MkdirTemp("", "acaciaspar-bench-")
	if err != nil {
		r.Fatalf("create temporary directory: %v", err)
	}
	r.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}
