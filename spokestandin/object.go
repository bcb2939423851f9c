package spokestandin

import (
	"io"
	"net/http"
	"sync"
)

// ObjectStore is a stand-in of an object store. The zero value is ready for
// use.
type ObjectStore struct {
	injector faultInjector
	mutex    sync.Mutex
	objects  map[string][]byte
}

// Handler returns the HTTP handler of the store and its control calls.
func (o *ObjectStore) Handler() http.Handler {
	o.objects = make(map[string][]byte)
	service := http.NewServeMux()
	service.HandleFunc("PUT /v1/objects/{name}", o.putObject)
	service.HandleFunc("GET /v1/objects/{name}", o.getObject)
	service.HandleFunc("DELETE /v1/objects/{name}", o.deleteObject)
	mux := http.NewServeMux()
	mux.Handle("/", o.injector.wrap(service))
	mux.Handle("POST /control", controlHandler(o.injector.setFaults))
	return mux
}

func (o *ObjectStore) putObject(w http.ResponseWriter, r *http.Request) {
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

func (o *ObjectStore) getObject(w http.ResponseWriter, r *http.Request) {
	o.mutex.Lock()
	content, ok := o.objects[r.PathValue("name")]
	o.mutex.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(content)
}

func (o *ObjectStore) deleteObject(w http.ResponseWriter, r *http.Request) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.objects, r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}
