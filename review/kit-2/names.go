package main

import (
	_ "embed"
	"encoding/json"
)

// settingsFormat is the format of a router's settings file.
//
//go:embed settings.txt
var settingsFormat string

//go:embed names.json
var namesText []byte

// names holds the names of the platform. A test of the product keeps them out of the Go files of all
// packages but the adapter.
var names = loadNames()

type platformNames struct {
	// Headers.
	RequestID, Deadline, ExpectedInstance, Instance, NotExecuted, Signature, Model, TokenCounts, PromptPrefix string
	// Paths of calls.
	Append, Newest, Read, Readiness, Report string
	// Topics of the store, a field of a worker's entry, and the variable with the path of the settings.
	ConfigTopic, WorkersTopic, ColdRemaining, BootVariable string
}

func loadNames() (n platformNames) {
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err)
	}
	return n
}
