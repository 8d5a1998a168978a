package main

import (
	"fmt"
	"time"
)

// route returns a route of the configuration, with the figures of the kbw-ops sheet.
func route(name, kind, service string, timeoutMs, targetMs, attempts int, resumable bool) map[string]any {
	r := map[string]any{
		"name": name, "host": "case.example", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeoutMs, "latencyTargetMs": targetMs,
		"priority": 1, "service": service, "attempts": attempts, "public": true, "sticky": kind == "streaming", "resumable": resumable,
	}
	if kind == "streaming" {
		r["gapTargetMs"] = 500
	}
	return r
}

// smallDeployment publishes a configuration with one service of model workers, llm, and one
// application service, desk, and starts their workers.
func smallDeployment(k *Kit, routers, engines, desks int) (llm, desk []*Worker, err error) {
	k.Publish(1, []map[string]any{
		route("chat", "streaming", "llm", 12000, 400, 2, true),
		route("tag", "streaming", "llm", 3000, 500, 1, false),
		route("book", "unsafe", "desk", 1500, 300, 1, false),
		route("look", "safe", "desk", 1500, 300, 2, false),
	}, services())
	for i := range engines {
		w := k.Worker(fmt.Sprintf("i-llm%d", i+1), "llm", "v1", 64)
		w.Events, w.EventGap, w.FirstEventIn = 10, 20*time.Millisecond, 30*time.Millisecond
		llm = append(llm, w)
		w.Start(true)
	}
	for i := range desks {
		w := k.Worker(fmt.Sprintf("i-desk%d", i+1), "desk", "v1", 6)
		w.Work = 30 * time.Millisecond
		desk = append(desk, w)
		w.Start(true)
	}
	return llm, desk, k.StartRouters(routers)
}

func services() []map[string]any {
	return []map[string]any{
		{"name": "llm", "healthPath": "/health", "connectionLimit": 370, "protocol": "h1", "transportSecurity": false,
			"engine": map[string]any{"slots": 64, "cacheCapacityTokens": 591875, "stride": 6, "models": []map[string]any{{"name": "m"}}}},
		{"name": "desk", "healthPath": "/health", "connectionLimit": 110, "protocol": "h1", "transportSecurity": false},
	}
}

// promptHeaders are the headers of a request to a model worker.
func promptHeaders(topic, own string) string {
	return fmt.Sprintf("%s: m\r\n%s: 628,60\r\n%s: %s:119,%s:509\r\n", names.Model, names.TokenCounts, names.PromptPrefix, topic, own)
}
