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

// PlainFaults are the faults that a plain service injects.
type PlainFaults struct {
	Faults `yaml:",inline"`
	// ProcessingTime is how long each execution takes. It replaces the server's.
	ProcessingTime spokeclock.Millis `json:"work_millis,omitempty"`
	// WrongAttemptAnswers is the number of responses that carry the identity of
	// another attempt.
	WrongAttemptAnswers int `json:"wrong_attempt,omitempty"`
}

// RunCounts counts the executions of requests.
type RunCounts struct {
	// Total is the number of all executions.
	Total int `json:"total"`
	// ByBody is the number of executions of each request body.
	ByBody map[string]int `json:"by_body"`
	// Generation is the run of the server.
	Generation int64 `json:"generation"`
}

// Confirmation is the body of a plain service's response.
type Confirmation struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// Path is the path of the request.
	Path string `json:"path"`
	// Body is the body of the request.
	Body string `json:"body"`
}

// PlainServer is a stand-in of a plain service's backend server. It counts the
// executions of each request. Set its fields before Handler.
type PlainServer struct {
	// Name is the name of the backend server.
	Name string
	// ProcessingTime is how long each execution takes.
	ProcessingTime spokeclock.Millis
	// Generation is the run of the server. Zero means the time of its start.
	Generation int64

	injector          faultInjector
	mutex             sync.Mutex
	wrongAttemptsLeft int
	runs              RunCounts
	attempts          map[string]*spokeplain.AttemptReport
}

// Handler returns the HTTP handler of the service and its control calls.
func (p *PlainServer) Handler() http.Handler {
	if p.Generation == 0 {
		p.Generation = int64(spokeclock.Wall())
	}
	p.runs.ByBody = make(map[string]int)
	p.attempts = make(map[string]*spokeplain.AttemptReport)
	service := http.NewServeMux()
	service.HandleFunc("/", p.serve)
	service.Handle("POST /v1/attempts/seal", spokehttp.JSONHandler(p.sealAttempt))
	mux := http.NewServeMux()
	mux.Handle("/", p.injector.wrap(service))
	mux.Handle("POST /control", controlHandler(p.setFaults))
	mux.Handle("GET /runs", spokehttp.JSONHandler(p.getRuns))
	mux.HandleFunc("POST /control/exit", handleExit)
	return mux
}

func (p *PlainServer) setFaults(faults PlainFaults) {
	p.injector.setFaults(faults.Faults)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ProcessingTime = faults.ProcessingTime
	p.wrongAttemptsLeft = faults.WrongAttemptAnswers
}

func (p *PlainServer) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get(spokeplain.AttemptHeader)
	w.Header().Set(spokeplain.AttemptHeader, p.responseAttempt(attempt))
	if !p.beginRun(attempt, string(body)) {
		w.Header().Set(spokeplain.SealedHeader, "true")
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.mutex.Lock()
	processingTime := p.ProcessingTime
	p.mutex.Unlock()
	_ = spokeclock.Sleep(context.Background(), processingTime)
	response := p.finishRun(attempt, Confirmation{Server: p.Name, Path: r.URL.Path, Body: string(body)})
	w.Header().Set("Content-Type", response.ContentType)
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

func (p *PlainServer) responseAttempt(attempt string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.wrongAttemptsLeft == 0 {
		return attempt
	}
	p.wrongAttemptsLeft--
	return "another-attempt"
}

func (p *PlainServer) beginRun(attempt, body string) bool {
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

func (p *PlainServer) finishRun(attempt string, confirmation Confirmation) spokeplain.Response {
	text, _ := json.Marshal(confirmation)
	response := spokeplain.Response{Status: http.StatusOK, ContentType: "application/json", Body: text}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	report := p.attempts[attempt]
	report.Finished = true
	report.Response = response
	return response
}

func (p *PlainServer) sealAttempt(_ context.Context, request spokeplain.SealRequest) (spokeplain.AttemptReport, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	report, seen := p.attempts[request.AttemptID]
	if !seen {
		report = &spokeplain.AttemptReport{}
		p.attempts[request.AttemptID] = report
	}
	answer := *report
	answer.AttemptID, answer.Server, answer.Generation = request.AttemptID, p.Name, p.Generation
	return answer, nil
}

func (p *PlainServer) getRuns(context.Context, struct{}) (RunCounts, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	runs := RunCounts{Total: p.runs.Total, ByBody: make(map[string]int, len(p.runs.ByBody)), Generation: p.Generation}
	for body, count := range p.runs.ByBody {
		runs.ByBody[body] = count
	}
	return runs, nil
}
