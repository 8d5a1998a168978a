package observability

import (
	"net/http"
	"net/http/pprof"
)

// HandleProfiles registers handlers for the runtime's profiles below
// /debug/pprof/. The profiles reveal command lines and code, so the admin
// listener serves them only if this is enabled.
func HandleProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}
