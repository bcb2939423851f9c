package spokestandin

import (
	"io"
	"net/http"
	"sync"
)

// ObjectStore is an object store. The zero value is ready for use.
type ObjectStore struct {
	faulty  faulty
	mutex   sync.Mutex
	objects map[string][]byte
}

// Handler returns the store's HTTP interface.
func (o *ObjectStore) Handler() http.Handler {
	o.objects = make(map[string][]byte)
	service := http.NewServeMux()
	service.HandleFunc("PUT /v1/objects/{name}", o.put)
	service.HandleFunc("GET /v1/objects/{name}", o.get)
	service.HandleFunc("DELETE /v1/objects/{name}", o.remove)
	mux := http.NewServeMux()
	mux.Handle("/", o.faulty.wrap(service))
	mux.Handle("POST /control", control(o.faulty.set))
	return mux
}

func (o *ObjectStore) put(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.objects[r.PathValue("name")] = content
	w.WriteHeader(http.StatusNoContent)
}

func (o *ObjectStore) get(w http.ResponseWriter, r *http.Request) {
	o.mutex.Lock()
	content, ok := o.objects[r.PathValue("name")]
	o.mutex.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(content)
}

func (o *ObjectStore) remove(w http.ResponseWriter, r *http.Request) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.objects, r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}
