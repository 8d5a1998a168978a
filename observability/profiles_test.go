package observability

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against profiles that the index lists but the listener doesn't serve.
func TestIndexedProfilesAreServed(t *testing.T) {
	mux := http.NewServeMux()
	HandleProfiles(mux)
	for _, path := range []string{"/debug/pprof/", "/debug/pprof/heap", "/debug/pprof/profile?seconds=1"} {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		must.Eq(t, http.StatusOK, w.Code, must.Sprint(path))
	}
}
