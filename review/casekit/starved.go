package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["starved"] = spoiledAnswers }

const (
	// spoilEvery is the number of answers of which a faulty worker spoils one, less than x = 0.05. It
	// is odd because requests reach the two routers by turns.
	spoilEvery = 21
	// spoilFor is how long workers are faulty.
	spoilFor = 3 * time.Second
)

// spoiledAnswers checks that model workers which gave a few answers that are none are used again
// once they are sound.
func spoiledAnswers(k *Kit) (bool, error) {
	llm, _, err := smallDeployment(k, 2, 2, 2)
	if err != nil {
		return false, err
	}
	// faulty holds the index of the worker that spoils answers, or -1.
	var faulty atomic.Int32
	faulty.Store(-1)
	for i, w := range llm {
		var answers atomic.Int64
		w.Spoil = func(in *http.Request) string {
			if faulty.Load() != int32(i) || answers.Add(1)%spoilEvery != 0 {
				return ""
			}
			return "HTTP/1.1 099 OK\r\n" + names.RequestID + ": " + in.Header.Get(names.RequestID) + "\r\n\r\n"
		}
	}
	tags, looks := &Load{kit: k, Kind: "tag", perSecond: 50}, &Load{kit: k, Kind: "look", perSecond: 120}
	looking := make(chan struct{})
	go func() {
		looks.Run(50 * time.Second)
		close(looking)
	}()
	for _, f := range []int32{0, 1, 0, 1} {
		if k.Trouble {
			faulty.Store(f)
			k.Log("%s spoils answers for %s", llm[f].ID, spoilFor)
		}
		tags.Run(spoilFor)
		faulty.Store(-1)
		k.Log("all workers are sound")
	}
	time.Sleep(2 * time.Second)
	before, servedBefore := tags.Result()
	k.Log("so far, %d of %d requests of the kind tag were served", servedBefore, before)
	tags.perSecond = 120
	tags.Run(36 * time.Second)
	<-looking
	asked, served := tags.Result()
	lookAsked, lookServed := looks.Result()
	k.Log("since all workers are sound, %d of %d requests of the kind tag were served", served-servedBefore, asked-before)
	k.Log("tag: %d of %d served; look: %d of %d served", served, asked, lookServed, lookAsked)
	share, all := float64(served)/float64(asked), float64(served+lookServed)/float64(asked+lookAsked)
	k.Log("the kind tag is served to %.3f, all requests to %.3f; a quarter of that is %.3f", share, all, all/4)
	return share < all/4, nil
}
