package observability

import (
	"net/http"
	"net/http/pprof"
)

// HandleProfiles serves the runtime's profiles below /debug/pprof/. They show
// command lines and code, so the admin listener has them only when asked for.
func HandleProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}
