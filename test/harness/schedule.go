package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// action is one kind of fault.
type action string

const (
	killNode        action = "kill node"
	killServer      action = "kill server"
	freezeNode      action = "freeze node"
	freezeServer    action = "freeze server"
	cutNode         action = "cut towards node"
	cutServer       action = "cut towards server"
	cutPlatform     action = "cut half of the nodes from the platform"
	platformFault   action = "platform misbehaves"
	grayServer      action = "gray server"
	stopServer      action = "planned stop of server"
	stopNode        action = "planned stop of node"
	raceOperators   action = "two operators race"
	withdrawAndBack action = "withdraw server and return it"
)

var allActions = []action{
	killNode, killServer, freezeNode, freezeServer, cutNode, cutServer, cutPlatform,
	platformFault, grayServer, grayServer, stopServer, stopNode, raceOperators, withdrawAndBack,
}

// event is one fault of a schedule.
type event struct {
	at     time.Duration
	length time.Duration
	action action
	// target is the index of an instance.
	target int
	// detail is a direction or a JSON object with faults.
	detail string
}

func (e event) String() string {
	return fmt.Sprintf("%6.1fs %s, instance %d, for %.1fs %s", e.at.Seconds(), e.action, e.target, e.length.Seconds(), e.detail)
}

const (
	// faultsFrom and faultsTail leave the start and the end of a run quiet, so
	// that every fault can heal before the evidence is read.
	faultsFrom = 3 * time.Second
	faultsTail = 12 * time.Second
	// faultPause is the mean time between two faults. Faults last up to 8 s, so
	// several are usually active at once.
	faultPause = 1500 * time.Millisecond
)

// drawSchedule returns the faults of a run of the given length.
func drawSchedule(rng *rand.Rand, length time.Duration, instances int, linked []int) []event {
	var events []event
	for at := faultsFrom; at < length-faultsTail; {
		events = append(events, drawEvent(rng, at, instances, linked))
		at += time.Duration(rng.ExpFloat64() * float64(faultPause))
	}
	return events
}

func drawEvent(rng *rand.Rand, at time.Duration, instances int, linked []int) event {
	e := event{
		at:     at,
		length: time.Duration((0.5 + 7.5*rng.Float64()) * float64(time.Second)),
		action: allActions[rng.IntN(len(allActions))],
		target: rng.IntN(instances),
	}
	switch e.action {
	case cutNode, cutServer:
		e.target = linked[rng.IntN(len(linked))]
		e.detail = drawDirection(rng)
	case cutPlatform:
		e.detail = drawDirection(rng)
	case platformFault:
		faults := []string{`{"down":true}`, `{"delay_ms":800}`, `{"drop_answers":0.5}`, `{"delay_ms":300,"drop_answers":1}`}
		e.detail = faults[rng.IntN(len(faults))]
	case grayServer:
		e.detail = drawGray(rng)
	}
	return e
}

func drawDirection(rng *rand.Rand) string {
	return []string{"forward", "backward", "both"}[rng.IntN(3)]
}

// drawGray returns the faults of a server that still passes its probes.
func drawGray(rng *rand.Rand) string {
	faults := []string{
		`"fail_ratio":1`, `"fail_ratio":0.3`, `"slow_factor":4`, `"slow_factor":10,"slow_ratio":0.2`,
		`"stall":true`, `"cut_ratio":0.3`, `"drop_ratio":0.5`, `"wrong_ratio":0.5`,
	}
	chosen := faults[rng.IntN(len(faults))]
	if rng.IntN(4) == 0 {
		chosen += `,"flap_ms":700`
	}
	return "{" + chosen + "}"
}
