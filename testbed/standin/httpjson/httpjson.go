// Package httpjson reads and writes JSON bodies for the HTTP handlers of the
// stand-ins.
package httpjson

import (
	"encoding/json"
	"io"
	"net/http"
)

// maxBodyBytes is the maximum number of bytes read from a request body.
const maxBodyBytes = 4 << 20

// Write sends v as JSON with the given status code and content type. It responds
// with status 500 if v can't be encoded.
func Write(w http.ResponseWriter, status int, contentType string, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_, _ = w.Write(append(body, '\n'))
}

// OK sends v as application/json with status 200.
func OK(w http.ResponseWriter, v any) {
	Write(w, http.StatusOK, "application/json", v)
}

// Read decodes the request body into v. Unknown fields are an error, so that a
// misspelled fault name in a test is reported instead of ignored.
func Read(r *http.Request, v any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(v)
}
