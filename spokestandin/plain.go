package spokestandin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeplain"
)

// PlainFaults are the faults of a plain service.
type PlainFaults struct {
	Faults `yaml:",inline"`
	// ProcessingTime is how long each run takes.
	ProcessingTime spokeclock.Millis `json:"work_millis,omitempty"`
	// WrongAttemptAnswers answers that many requests under another attempt.
	WrongAttemptAnswers int `json:"wrong_attempt,omitempty"`
}

// RunCounts counts how often each request body ran.
type RunCounts struct {
	// Total counts all runs.
	Total int `json:"total"`
	// ByBody counts runs of each body.
	ByBody map[string]int `json:"by_body"`
}

// Confirmation is a plain service's answer.
type Confirmation struct {
	// Server names the backend server.
	Server string `json:"server"`
	// Path is the path that was asked for.
	Path string `json:"path"`
	// Body is the body that was run.
	Body string `json:"body"`
}

// PlainServer is a plain service that counts each run. Set its fields before
// Handler.
type PlainServer struct {
	// Name names the backend server.
	Name string
	// ProcessingTime is how long each run takes.
	ProcessingTime spokeclock.Millis

	faulty   faulty
	mutex    sync.Mutex
	wrong    int
	runs     RunCounts
	attempts map[string]*spokeplain.AttemptReport
}

// Handler returns the service's HTTP interface.
func (p *PlainServer) Handler() http.Handler {
	p.runs.ByBody = make(map[string]int)
	p.attempts = make(map[string]*spokeplain.AttemptReport)
	service := http.NewServeMux()
	service.HandleFunc("/", p.serve)
	service.Handle("POST /v1/attempts/seal", spokehttp.JSONHandler(p.seal))
	mux := http.NewServeMux()
	mux.Handle("/", p.faulty.wrap(service))
	mux.Handle("POST /control", control(p.set))
	mux.Handle("GET /runs", spokehttp.JSONHandler(p.count))
	mux.HandleFunc("POST /control/exit", exit)
	return mux
}

func (p *PlainServer) set(faults PlainFaults) {
	p.faulty.set(faults.Faults)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ProcessingTime = faults.ProcessingTime
	p.wrong = faults.WrongAttemptAnswers
}

func (p *PlainServer) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get(spokeplain.AttemptHeader)
	w.Header().Set(spokeplain.AttemptHeader, p.carried(attempt))
	if !p.begin(attempt, string(body)) {
		w.Header().Set(spokeplain.SealedHeader, "true")
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.mutex.Lock()
	work := p.ProcessingTime
	p.mutex.Unlock()
	_ = spokeclock.Sleep(context.Background(), work)
	answer := p.finish(attempt, Confirmation{Server: p.Name, Path: r.URL.Path, Body: string(body)})
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func (p *PlainServer) carried(attempt string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.wrong == 0 {
		return attempt
	}
	p.wrong--
	return "another-attempt"
}

func (p *PlainServer) begin(attempt, body string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if report, seen := p.attempts[attempt]; seen && !report.Started {
		return false
	}
	p.attempts[attempt] = &spokeplain.AttemptReport{Started: true}
	p.runs.Total++
	p.runs.ByBody[body]++
	return true
}

func (p *PlainServer) finish(attempt string, confirmation Confirmation) spokeplain.Response {
	text, _ := json.Marshal(confirmation)
	answer := spokeplain.Response{Status: http.StatusOK, ContentType: "application/json", Body: text}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	report := p.attempts[attempt]
	report.Finished = true
	report.Response = answer
	return answer
}

func (p *PlainServer) seal(_ context.Context, request spokeplain.SealRequest) (spokeplain.AttemptReport, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	report, seen := p.attempts[request.AttemptID]
	if !seen {
		report = &spokeplain.AttemptReport{}
		p.attempts[request.AttemptID] = report
	}
	return *report, nil
}

func (p *PlainServer) count(context.Context, struct{}) (RunCounts, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	runs := RunCounts{Total: p.runs.Total, ByBody: make(map[string]int, len(p.runs.ByBody))}
	for body, count := range p.runs.ByBody {
		runs.ByBody[body] = count
	}
	return runs, nil
}
