// Command review2 holds the stand-ins and the cases of review/6 to review/10. Its argument
// is the case. It starts the project's programs, plays the case, writes record.txt into the
// folder that RECORD names, and exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

var cases = map[string]func(record *recorder, trouble bool) (broken string){
	"rollback": playRollback,
	"headers":  playHeaders,
	"places":   playPlaces,
	"upgrade":  playUpgrade,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fatal("usage: review2 CASE")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		fatal("interrupted")
	}()
	const maxTime = 115 * time.Second
	time.AfterFunc(maxTime, func() { fatal("not finished within %s", maxTime) })
	record := newRecorder(filepath.Join(os.Getenv("RECORD"), "record.txt"))
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, trouble %t", os.Args[1], trouble)
	broken := cases[os.Args[1]](record, trouble)
	runCleanups()
	if broken != "" {
		record.line("broken: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	record.line("held")
	fmt.Println("held")
}
