package spokestandin

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"
)

const (
	defaultWeightBytesPerSecond = 64 << 20
	weightChunkBytes            = 64 << 10
	defaultWeightBytes          = 1 << 20
)

// WeightStore is a stand-in of a rate-limited store of model weights. Set its
// fields before Handler.
type WeightStore struct {
	// BytesPerSecond limits all downloads together. Zero means 64 MiB.
	BytesPerSecond float64

	injector faultInjector
	limiter  *rate.Limiter
}

// Handler returns the HTTP handler of the store and its control calls.
func (s *WeightStore) Handler() http.Handler {
	if s.BytesPerSecond == 0 {
		s.BytesPerSecond = defaultWeightBytesPerSecond
	}
	s.limiter = rate.NewLimiter(rate.Limit(s.BytesPerSecond), weightChunkBytes)
	service := http.NewServeMux()
	service.HandleFunc("GET /v1/weights/{name}", s.getWeights)
	mux := http.NewServeMux()
	mux.Handle("/", s.injector.wrap(service))
	mux.Handle("POST /control", controlHandler(s.injector.setFaults))
	return mux
}

func (s *WeightStore) getWeights(w http.ResponseWriter, r *http.Request) {
	remaining, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil {
		remaining = defaultWeightBytes
	}
	for remaining > 0 {
		size := min(remaining, weightChunkBytes)
		if s.limiter.WaitN(r.Context(), size) != nil {
			return
		}
		if _, err := w.Write(make([]byte, size)); err != nil {
			return
		}
		remaining -= size
	}
}
