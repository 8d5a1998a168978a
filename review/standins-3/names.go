package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	parsed := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		if fields := strings.Fields(line); len(fields) == 2 {
			parsed[fields[0]] = fields[1]
		}
	}
	return parsed
}

// name returns a name of the platform's protocol.
func name(key string) string {
	n, ok := names[key]
	if !ok {
		panic("no name for " + key)
	}
	return n
}
