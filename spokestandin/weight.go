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

// WeightStore is a rate-limited store of model weights. Set its fields before
// Handler.
type WeightStore struct {
	// BytesPerSecond limits all downloads together. Zero means 64 MiB.
	BytesPerSecond float64

	faulty faulty
	limit  *rate.Limiter
}

// Handler returns the store's HTTP interface.
func (s *WeightStore) Handler() http.Handler {
	if s.BytesPerSecond == 0 {
		s.BytesPerSecond = defaultWeightBytesPerSecond
	}
	s.limit = rate.NewLimiter(rate.Limit(s.BytesPerSecond), weightChunkBytes)
	service := http.NewServeMux()
	service.HandleFunc("GET /v1/weights/{name}", s.get)
	mux := http.NewServeMux()
	mux.Handle("/", s.faulty.wrap(service))
	mux.Handle("POST /control", control(s.faulty.set))
	return mux
}

func (s *WeightStore) get(w http.ResponseWriter, r *http.Request) {
	left, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil {
		left = defaultWeightBytes
	}
	for left > 0 {
		size := min(left, weightChunkBytes)
		if s.limit.WaitN(r.Context(), size) != nil {
			return
		}
		if _, err := w.Write(make([]byte, size)); err != nil {
			return
		}
		left -= size
	}
}
