package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/api"
)

// floorInterval is the time between two looks at the capacity.
const floorInterval = 200 * time.Millisecond

// floorWatch looks at the capacity of every service, through one node after
// the other, and counts the looks that find less than the floor.
type floorWatch struct {
	fleet *fleet
	end   chan struct{}
	wait  sync.WaitGroup
	below int
}

// watchFloor starts a watch.
func (f *fleet) watchFloor() *floorWatch {
	w := &floorWatch{fleet: f, end: make(chan struct{})}
	w.wait.Go(w.run)
	return w
}

func (w *floorWatch) run() {
	for n := 0; ; n++ {
		select {
		case <-w.end:
			return
		case <-time.After(floorInterval):
		}
		i := w.fleet.instances[n%len(w.fleet.instances)]
		var status api.Status
		// A node that does not answer shows nothing; the next one is asked soon.
		if w.fleet.adminGet(i, api.PathStatus, &status) != nil || !status.Ready {
			continue
		}
		if len(status.BelowFloor) > 0 {
			fmt.Printf("%s sees below the floor: %s\n", i.id, strings.Join(status.BelowFloor, ", "))
			w.below++
		}
	}
}

// stop ends the watch and returns the number of looks below the floor.
func (w *floorWatch) stop() int {
	close(w.end)
	w.wait.Wait()
	return w.below
}

var adminClient = &http.Client{Timeout: 2 * time.Second}

// adminGet reads one page of the administration API of a node.
func (f *fleet) adminGet(i *instance, path string, result any) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+i.addr(listenAdmin)+path, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+f.deployment.operator)
	response, err := adminClient.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return trace.BadParameter("%s: %s", path, response.Status)
	}
	return trace.Wrap(json.NewDecoder(response.Body).Decode(result))
}
