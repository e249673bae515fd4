// Rig2 plays cases of the review: it starts gateways as processes and is their store, workers and clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

type options struct {
	trouble  bool
	keep     bool
	seconds  int
	gateways int
	what     string
	load     int
	local    bool
	planned  bool
	at       int
}

var cases = map[string]func(*Fleet, *World, options) error{"chaos": chaos, "allocators": allocators, "crashed": crashed, "left": left, "quota": quota, "rolling": rolling, "gone": gone, "ghost": ghost}

func main() {
	o := options{}
	record := flag.String("record", "", "file of the record")
	binary := flag.String("galenaward", "target/galenaward", "program of the system")
	name := flag.String("case", "chaos", "case")
	flag.BoolVar(&o.keep, "keep", false, "keep the logs")
	flag.BoolVar(&o.local, "local", false, "no route keeps history")
	flag.BoolVar(&o.planned, "planned", false, "all trouble is planned work")
	flag.IntVar(&o.at, "at", 4000, "when the one trouble comes, ms")
	flag.IntVar(&o.seconds, "seconds", 30, "length")
	flag.IntVar(&o.gateways, "gateways", 6, "gateways")
	flag.IntVar(&o.load, "load", 40, "programs at once")
	flag.StringVar(&o.what, "what", "", "kinds of trouble, for chaos")
	flag.Parse()
	o.trouble = os.Getenv("TROUBLE") != "0"
	os.Exit(play(*name, *record, *binary, o))
}

func play(name, record, binary string, o options) int {
	c := cases[name]
	if c == nil {
		fmt.Println("no such case")
		return 2
	}
	binary, err := filepath.Abs(binary)
	if err != nil {
		return 2
	}
	w := newWorld()
	w.quiet = record != ""
	w.givesUp = name == "left" && o.trouble
	n := o.gateways
	models := 6
	if name == "crashed" || name == "left" {
		models = 20
	}
	f, err := newFleet(w, binary, n, models, 6)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if o.local {
		f.extra = "local"
		f.putConfig()
	}
	if name == "allocators" || name == "quota" || name == "rolling" {
		f.tenants[0].rate, f.tenants[0].burst = 156, 156
		f.putConfig()
	}
	defer w.write(record)
	defer f.close(o.keep)
	if err := f.startAll(); err != nil {
		fmt.Println(err)
		w.log("the case could not run: %v", err)
		return 2
	}
	time.Sleep(2 * time.Second)
	if err := c(f, w, o); err != nil {
		fmt.Println(err)
		w.log("the case could not run: %v", err)
		return 2
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, n := range w.counts {
		w.logLocked("%6d %s", n, k)
	}
	if o.keep {
		w.logLocked("logs in %s", f.dir)
	}
	bad := 0
	for rule, n := range w.broken {
		w.logLocked("rule %s: broken %d times", rule, n)
		fmt.Printf("rule %s: broken %d times\n", rule, n)
		bad++
	}
	if bad > 0 {
		return 1
	}
	w.logLocked("no rule was broken")
	return 0
}
