package main

import (
	"sync"
	"time"
)

func init() { cases["inplace"] = restartAsNewerVersion }

// maxMixed is the number of streams with events of two software versions that the rule allows.
const maxMixed = 2

// restartAsNewerVersion checks that streams stay at one software version while the store is
// silent and a worker that crashed comes back, under its identifier, with a newer one.
func restartAsNewerVersion(k *Kit) (bool, error) {
	llm, _, err := smallDeployment(k, 2, 4, 0)
	if err != nil {
		return false, err
	}
	for _, w := range llm {
		w.Events, w.EventGap = 49, 40*time.Millisecond
	}
	var mu sync.Mutex
	versions := map[string]map[string]bool{}
	chats := &Load{kit: k, Kind: "chat", perSecond: 20, Events: func(id string, e Event) {
		mu.Lock()
		defer mu.Unlock()
		if versions[id] == nil {
			versions[id] = map[string]bool{}
		}
		versions[id][e.Version] = true
	}}
	at := func(seconds float64, f func()) {
		if k.Trouble {
			time.AfterFunc(time.Duration(seconds*float64(time.Second)), f)
		}
	}
	at(0.3, func() { k.Store.SetSilent(true); k.Log("the store is silent") })
	at(0.6, llm[0].Crash)
	at(2.6, func() { llm[0].Version = "v2"; llm[0].Start(true) })
	at(8, llm[1].Crash)
	at(8.3, func() { k.Store.SetSilent(false); k.Log("the store answers again") })
	at(10, func() { llm[1].Start(true) })
	chats.Run(13 * time.Second)
	asked, served := chats.Result()
	mixed := 0
	for id, v := range versions {
		if len(v) > 1 {
			mixed++
			k.Log("the stream of request %s holds events of %d software versions", id, len(v))
		}
	}
	k.Log("%d of %d streams were complete; %d hold events of two software versions", served, asked, mixed)
	return mixed > maxMixed, nil
}
