// Package httpjson reads and writes the JSON bodies of the stand-ins' control
// endpoints. It owns no state.
package httpjson

import (
	"encoding/json"
	"io"
	"net/http"
)

// maxBodyBytes bounds the memory that one control request may take.
const maxBodyBytes = 4 << 20

// Write sends v with a status code.
func Write(w http.ResponseWriter, status int, contentType string, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// A failed write means that the caller is gone.
	_, _ = w.Write(append(body, '\n'))
}

// OK sends v as application/json with status 200.
func OK(w http.ResponseWriter, v any) {
	Write(w, http.StatusOK, "application/json", v)
}

// Read decodes a body and refuses unknown fields, so that a misspelled fault
// in a test is an error instead of no fault.
func Read(r *http.Request, v any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(v)
}
