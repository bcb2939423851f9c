// Command standin plays the cases of the review: it starts the project's own program as
// separate processes, before stand-ins for the platform, the workers and the consumers, and
// checks a rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Record is the record of a run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// Logf writes a line with the time since the start.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Deployment is the platform with its machines and workers.
type Deployment struct {
	Store   *Store
	Cloud   *Cloud
	Entries []*Entry
	Workers []*Worker
	record  *Record
	dir     string
	root    string
	setting Settings
	next    int
	mu      sync.Mutex
	done    chan struct{}
}

func serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// NewDeployment starts the platform.
func NewDeployment(root, dir string, record *Record, zones []string) (*Deployment, error) {
	d := &Deployment{Store: NewStore(), Cloud: &Cloud{record: record}, record: record, dir: dir, root: root, done: make(chan struct{})}
	store, err := serve(d.Store)
	if err != nil {
		return nil, err
	}
	cloud, err := serve(d.Cloud)
	if err != nil {
		return nil, err
	}
	d.setting = Settings{Zones: zones, Store: store, CloudAPI: cloud}
	go func() {
		for {
			select {
			case <-d.done:
				return
			case <-time.After(500 * time.Millisecond):
				d.Store.KeepCopy()
			}
		}
	}()
	return d, nil
}

// AddEntry adds a machine. It is started by StartEntries.
func (d *Deployment) AddEntry(name, zone string) (*Entry, error) {
	e, err := NewEntry(d.root, d.dir, name, zone, d.setting)
	if err == nil {
		d.Entries = append(d.Entries, e)
	}
	return e, err
}

// StartEntries starts all machines and waits until they are in rotation.
func (d *Deployment) StartEntries() error {
	for _, e := range d.Entries {
		if err := e.Start(); err != nil {
			return err
		}
		go func() {
			for {
				select {
				case <-d.done:
					return
				case <-time.After(time.Second):
					e.probe()
				}
			}
		}()
	}
	return d.AwaitReady(20 * time.Second)
}

// AwaitReady waits until all machines are in rotation.
func (d *Deployment) AwaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range d.Entries {
			if e.InRotation() {
				ready++
			}
		}
		if ready == len(d.Entries) {
			return nil
		}
	}
	return fmt.Errorf("the machines did not become ready")
}

// Pick returns the machine that the platform forwards a new channel to: one in rotation,
// and for a retry another one than before, if there is one.
func (d *Deployment) Pick(before *Entry) *Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, other := range []bool{true, false} {
		for range d.Entries {
			d.next++
			e := d.Entries[d.next%len(d.Entries)]
			if e.InRotation() && (!other || e != before) {
				return e
			}
		}
	}
	return nil
}

// AddWorker starts a worker.
func (d *Deployment) AddWorker(k *Worker) (*Worker, error) {
	k.store, k.record = d.Store, d.record
	if err := k.Start(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.Workers = append(d.Workers, k)
	d.mu.Unlock()
	return k, nil
}

// Stop ends all that was started.
func (d *Deployment) Stop() {
	close(d.done)
	for _, e := range d.Entries {
		e.Kill()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range d.Workers {
		k.Stop()
	}
}

// caseFunc plays a case. It reports whether the rule was broken.
type caseFunc func(d *Deployment, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"versions":  versionsCase,
	"usage":     usageCase,
	"taken-up":  takenUpCase,
	"deadly":    deadlyCase,
	"forgotten": forgottenCase,
}

func main() {
	name := flag.String("case", "", "the case to play")
	folder := flag.String("folder", "", "the folder of the case")
	flag.Parse()
	os.Exit(run(*name, *folder, os.Getenv("TROUBLE") != "0"))
}

const longestRun = 115 * time.Second

func run(name, folder string, trouble bool) int {
	play, known := cases[name]
	root, err := os.Getwd()
	if !known || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		return 2
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	record := &Record{file: file, started: time.Now()}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	d, err := NewDeployment(root, dir, record, []string{"south-a", "south-b", "south-c", "south-d"})
	if err != nil {
		return 2
	}
	stop := sync.OnceFunc(d.Stop)
	defer stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := play(d, trouble)
		ended <- outcome{broken, err}
	}()
	select {
	case o := <-ended:
		switch {
		case o.err != nil:
			record.Logf("the case couldn't run: %v", o.err)
			fmt.Println("couldn't run:", o.err)
			return 2
		case o.broken:
			record.Logf("the rule was broken")
			fmt.Println("the rule was broken")
			return 1
		}
		record.Logf("the rule held")
		fmt.Println("the rule held")
		return 0
	case <-interrupted:
		return 2
	case <-time.After(longestRun):
		record.Logf("the case took too long")
		return 2
	}
}
