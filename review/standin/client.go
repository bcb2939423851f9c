package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Consumer is a stand-in for the consumers (PROTOCOL.md, "Requests" and "Answers"). Each
// try opens a new channel, which the platform forwards to a machine.
type Consumer struct {
	Key string
	// Retries is how often a request is sent again at most.
	Retries int
	deploy  *Deployment
}

// Ask is what a consumer asks for.
type Ask struct {
	Name, Method, Host, Path, Body string
	Deadline                       time.Duration
	// Tokens and Prefix are the headers of requests for generation, or empty.
	Tokens, Prefix string
	// Stream is whether the answer is a stream of Events events that may be resumed.
	Stream bool
	Events int
}

// Event is one event that a consumer got.
type Event struct {
	ID      int
	Text    string
	Version string
}

// Try is one consumer attempt.
type Try struct {
	ID, Machine string
	Sent, Ended time.Time
	// Resumes and After are what a stream is taken up from.
	Resumes string
	After   int
	Status  int
	Body    string
	// Whole is whether the answer ended as complete.
	Whole  bool
	Events int
	Err    error
	// refused is whether the status promises that the request has not run.
	refused    bool
	retryAfter time.Duration
}

// Result is all that a consumer got for one request.
type Result struct {
	Ask    Ask
	Tries  []Try
	Events []Event
	Done   bool
}

func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

const connectTimeout = time.Second

// Do sends a request until it is answered, the retries are used up or the time is over.
// Machine is the one that gets the first try, or nil for any.
func (c *Consumer) Do(ask Ask, machine *Entry) Result {
	result := Result{Ask: ask}
	end := time.Now().Add(ask.Deadline)
	first, after := "", 0
	for n := 0; n <= c.Retries; n++ {
		left := time.Until(end)
		if left <= 20*time.Millisecond {
			break
		}
		if machine == nil {
			if machine = c.deploy.Pick(nil); machine == nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		try := c.try(ask, machine, left, first, after, &result)
		if first == "" && try.Events > 0 {
			first = try.ID
		}
		if len(result.Events) > 0 {
			after = result.Events[len(result.Events)-1].ID
		}
		result.Tries = append(result.Tries, try)
		c.deploy.record.Logf("%s try %d at %s: id %s resumes %q after %d -> status %d, %d events, whole %t, after %.2f s, retry after %.2f s%s",
			ask.Name, n+1, machine.Name, try.ID, try.Resumes, try.After, try.Status, try.Events, try.Whole, try.Ended.Sub(try.Sent).Seconds(), try.retryAfter.Seconds(), errText(try.Err))
		if try.Status == http.StatusOK && try.Whole {
			result.Done = true
			break
		}
		if !c.mayRetry(ask, try) {
			break
		}
		if try.refused && try.retryAfter > 0 {
			time.Sleep(min(try.retryAfter, time.Until(end)/3))
		}
		machine = c.deploy.Pick(machine)
	}
	return result
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return ", " + op.Op + " failed"
	}
	return ", broken off"
}

func (c *Consumer) mayRetry(ask Ask, try Try) bool {
	switch {
	case try.Status >= 200 && try.Status < 300 && try.Whole:
		return false
	case try.Status == 400 || try.Status == 401 || try.Status == 404 || try.Status == 413 || try.Status == 431:
		return false
	case ask.Stream || ask.Method == http.MethodGet:
		return true
	default:
		return try.refused
	}
}

func (c *Consumer) try(ask Ask, machine *Entry, left time.Duration, first string, after int, result *Result) (try Try) {
	try = Try{ID: newID(), Machine: machine.Name, Sent: time.Now(), After: after}
	defer func() { try.Ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, ask.Method, "http://"+machine.Front+ask.Path, strings.NewReader(ask.Body))
	if err != nil {
		try.Err = err
		return try
	}
	request.Host = ask.Host
	request.Header.Set("Mulberryspoke-Attempt-Id", try.ID)
	request.Header.Set("Mulberryspoke-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if ask.Tokens != "" {
		request.Header.Set("Mulberryspoke-Model", "m")
		request.Header.Set("Mulberryspoke-Token-Usage", ask.Tokens)
		request.Header.Set("Mulberryspoke-Prompt-Prefix", ask.Prefix)
	}
	if after > 0 {
		try.Resumes = first
		request.Header.Set("Last-Event-Id", strconv.Itoa(after))
		request.Header.Set("Resumes", first)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext}
	response, err := transport.RoundTrip(request)
	if err != nil {
		try.Err = err
		return try
	}
	defer response.Body.Close()
	try.Status = response.StatusCode
	switch try.Status {
	case 429, 503, 408, 421:
		try.refused = true
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		try.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if try.Status == http.StatusOK && ask.Stream {
		try.Events, try.Err = readEvents(response.Body, result)
		try.Whole = try.Err == nil
		return try
	}
	body, err := io.ReadAll(response.Body)
	try.Body, try.Err, try.Whole = string(body), err, err == nil
	return try
}

// readEvents adds the complete events of a stream to the result.
func readEvents(body io.Reader, result *Result) (count int, err error) {
	reader := bufio.NewReader(body)
	var event Event
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" && event == (Event{}) {
			return count, nil
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return count, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "":
			if event != (Event{}) {
				result.Events = append(result.Events, event)
				count++
			}
			event = Event{}
		case strings.HasPrefix(line, "id:"):
			event.ID, _ = strconv.Atoi(strings.TrimSpace(line[3:]))
		case strings.HasPrefix(line, "data:"):
			event.Text = strings.TrimSpace(line[5:])
			event.Version, _, _ = strings.Cut(event.Text, " ")
		}
	}
}

// Versions returns the versions of the workers' software whose events the consumer has, in
// their order.
func (r *Result) Versions() string {
	text, last, from := "", "", 0
	for i, e := range r.Events {
		if e.Version != last {
			if last != "" {
				text += fmt.Sprintf("%s events %d-%d, ", last, from, r.Events[i-1].ID)
			}
			last, from = e.Version, e.ID
		}
	}
	if last != "" {
		text += fmt.Sprintf("%s events %d-%d", last, from, r.Events[len(r.Events)-1].ID)
	}
	return text
}

// Mixed reports whether the consumer has events of two versions.
func (r *Result) Mixed() bool {
	for _, e := range r.Events {
		if e.Version != r.Events[0].Version {
			return true
		}
	}
	return false
}
