package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["route"] = incompleteEntry }

// incompleteEntry checks the rule ROUTE while another writer writes entries that lack fields
// under the id of a model worker. Requests of the service desk must run at its workers only.
func incompleteEntry(k *Kit) (bool, error) {
	llm, desk, err := smallDeployment(k, 2, 2, 2)
	if err != nil {
		return false, err
	}
	for _, w := range desk {
		w.Work = 60 * time.Millisecond
	}
	time.Sleep(time.Second)
	foreign := map[int]bool{150: true, 450: true, 750: true}
	var wg sync.WaitGroup
	for i := range 1000 {
		if foreign[i] && k.Trouble {
			// The entry lacks two fields, so it names no worker to use.
			k.Store.PutJSON(names.WorkersTopic, llm[0].ID, map[string]any{
				"service": "desk", "address": llm[0].address, "zone": "z1", "version": "v1", "slots": 6, "state": "ready",
			})
			k.Log("another writer writes an entry that lacks two fields for %s, with the service desk", llm[0].ID)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := k.Dial(k.Routers[i%2].Front)
			if err != nil {
				k.Log("connecting failed: %v", err)
				return
			}
			defer c.Close()
			method, path := http.MethodPost, "/book/1"
			if i%4 == 3 {
				method, path = http.MethodGet, "/look/1"
			}
			c.Do(Request{ID: k.NewID(), Method: method, Path: path, Deadline: 3 * time.Second})
		}()
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	wrong, served := 0, 0
	for _, a := range k.Arrivals() {
		switch {
		case a.What != "runs":
		case a.Worker == llm[0].ID || a.Worker == llm[1].ID:
			wrong++
		default:
			served++
		}
	}
	k.Log("requests of the service desk: %d run by its workers, %d run by workers of the service llm", served, wrong)
	return wrong > 0, nil
}
