package main

import (
	"net/http"
	"time"
)

func init() { cases["keys"] = lastTenantRemoved }

// lastTenantRemoved checks that requests with a key that was taken away, or that never existed,
// aren't run when a configuration removes the keys and then the only tenant.
func lastTenantRemoved(k *Kit) (bool, error) {
	book := route("book", "unsafe", "desk", 1500, 300, 1, false)
	book["public"] = false
	tenant := func(keys ...string) []map[string]any {
		return []map[string]any{{"name": "tenant-1", "apiKeys": append([]string{}, keys...), "priority": 1}}
	}
	k.PublishWith(1, []map[string]any{book}, services(), map[string]any{"tenants": tenant("key-1")})
	for _, id := range []string{"i-desk1", "i-desk2"} {
		w := k.Worker(id, "desk", "v1", 6)
		w.Work = 30 * time.Millisecond
		w.Start(true)
	}
	if err := k.StartRouters(2); err != nil {
		return false, err
	}
	// try sends requests with a key for two seconds and returns how many were served.
	try := func(key string) (served int) {
		for i := range 20 {
			c, err := k.Dial(k.Routers[i%2].Front)
			if err != nil {
				k.Fail("connecting: %v", err)
				return served
			}
			k.Log("the next request has the key %s", key)
			a := c.Do(Request{
				ID: k.NewID(), Method: http.MethodPost, Path: "/book/1", Deadline: 3 * time.Second, Header: "Authorization: Bearer " + key + "\r\n",
			})
			c.Close()
			if a.Status == http.StatusOK {
				served++
			}
			time.Sleep(100 * time.Millisecond)
		}
		return served
	}
	valid := try("key-1")
	if valid == 0 || try("never-held") > 0 {
		k.Fail("keys don't work before the change")
	}
	if k.Trouble {
		k.PublishWith(2, []map[string]any{book}, services(), map[string]any{"tenants": tenant()})
		time.Sleep(3 * time.Second)
		k.Log("%d requests with the key that was taken away were served", try("key-1"))
		k.PublishWith(3, []map[string]any{book}, services(), map[string]any{"tenants": []map[string]any{}})
		time.Sleep(3 * time.Second)
	}
	dropped, unknown := 0, try("never-held")
	if k.Trouble {
		dropped = try("key-1")
	}
	k.Log("at the end, %d requests with the key that was taken away and %d with a key that never existed were served", dropped, unknown)
	return unknown > 0, nil
}
