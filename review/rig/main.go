// Command rig plays one case of the review: it starts gateways as processes between stand-ins of the platform's store,
// of workers and of clients, and checks one rule by what these see. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

// limit ends a case that hangs.
const limit = 115 * time.Second

// scenario plays a case and reports whether the rule was broken.
type scenario struct {
	gateways, workers int
	// linked puts proxies between the gateways and the store.
	linked bool
	play   func(f *fleet, trouble bool) (broken bool, err error)
}

var scenarios = map[string]scenario{
	"budget":    {2, 2, false, playBudget},
	"retention": {2, 2, false, playRetention},
	"chain":     {2, 2, false, playChain},
	"leaving":   {2, 2, false, playLeaving},
	"quota":     {3, 4, true, playQuota},
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Println("usage: rig CASE FOLDER")
		return 2
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Println("unknown case", os.Args[1])
		return 2
	}
	f, err := newFleet(os.Args[2], s.gateways, s.workers, s.linked)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	done := make(chan int, 1)
	go func() {
		broken, err := s.play(f, os.Getenv("TROUBLE") != "0")
		switch {
		case err != nil:
			f.record.say("could not run: %v", err)
			done <- 2
		case broken:
			f.record.say("RULE BROKEN")
			done <- 1
		default:
			f.record.say("the rule held")
			done <- 0
		}
	}()
	select {
	case code := <-done:
		return code
	case <-time.After(limit):
		f.record.say("could not run: over %s", limit)
		return 2
	}
}
