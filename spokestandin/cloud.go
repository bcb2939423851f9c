package spokestandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokehttp"
)

const maxListSnapshots = 4096

// CloudControlRequest is the body of a control call to the cloud API.
type CloudControlRequest struct {
	// Faults replaces all faults. Nil keeps the current ones.
	Faults *CloudFaults `json:"faults,omitempty"`
	// Register adds running instances, or replaces those of the same name.
	Register []spokecloud.Instance `json:"register,omitempty"`
	// Pool adds spare instances that start calls may return.
	Pool []spokecloud.Instance `json:"pool,omitempty"`
	// Reclaim announces and performs the reclaim of instances.
	Reclaim *ReclaimRequest `json:"reclaim,omitempty"`
	// AddressOverrides replaces the addresses of instances for some viewers.
	AddressOverrides []AddressOverride `json:"routes,omitempty"`
}

// CloudFaults are the faults that the cloud API injects.
type CloudFaults struct {
	Faults `yaml:",inline"`
	// RefuseStarts rejects every start of a new instance with status 409.
	RefuseStarts bool `json:"refuse_starts,omitempty"`
	// HideNotices leaves the list of reclaim notices empty.
	HideNotices bool `json:"hide_notices,omitempty"`
	// ListLag is the age of the served list of instances.
	ListLag spokeclock.Millis `json:"list_lag_millis,omitempty"`
	// ListFrozen serves the list of instances as it was when this was set.
	ListFrozen bool `json:"list_frozen,omitempty"`
}

// ReclaimRequest announces the reclaim of instances and ends them after the
// notice time.
type ReclaimRequest struct {
	// Instances are the names of instances to reclaim.
	Instances []string `json:"instances,omitempty"`
	// DataCentre adds all reclaimable backend servers of a data centre.
	DataCentre string `json:"data_centre,omitempty"`
	// NoticeTime is the time from the notice to the end of the instances.
	NoticeTime spokeclock.Millis `json:"notice_millis"`
}

// AddressOverride replaces the address of an instance in one viewer's list.
type AddressOverride struct {
	// Viewer is the name of the viewer, as in the URL /view/{viewer}/v1/instances.
	Viewer string `json:"viewer"`
	// Instance is the name of the instance.
	Instance string `json:"instance"`
	// Address is the address in the viewer's list.
	Address string `json:"address"`
}

// CloudAPI is a stand-in of a cloud API whose list of instances may lag. Set
// its fields before Handler.
type CloudAPI struct {
	// KillFunc ends an instance. If nil, the instance gets a POST to
	// /control/exit.
	KillFunc func(spokecloud.Instance)
	// StartFunc starts an instance and returns false if it cannot. If nil, an
	// instance of the pool is used.
	StartFunc func(spokecloud.StartRequest) (spokecloud.Instance, bool)
	// Clock is the source of time. Nil means the time of the process.
	Clock *spokeclock.Clock

	injector         faultInjector
	mutex            sync.Mutex
	faults           CloudFaults
	live             map[string]spokecloud.Instance
	pool             []spokecloud.Instance
	started          map[string]spokecloud.Instance
	terminateAt      map[string]spokeclock.Millis
	addressOverrides []AddressOverride
	history          []listSnapshot
	frozenList       []spokecloud.Instance
}

type listSnapshot struct {
	takenAt   spokeclock.Millis
	instances []spokecloud.Instance
}

// Handler returns the HTTP handler of the cloud API and its control calls.
func (c *CloudAPI) Handler() http.Handler {
	c.live = make(map[string]spokecloud.Instance)
	c.started = make(map[string]spokecloud.Instance)
	c.terminateAt = make(map[string]spokeclock.Millis)
	service := http.NewServeMux()
	service.HandleFunc("GET /v1/instances", c.listHandler(""))
	service.HandleFunc("GET /view/{viewer}/v1/instances", func(w http.ResponseWriter, r *http.Request) {
		c.listHandler(r.PathValue("viewer")).ServeHTTP(w, r)
	})
	service.Handle("GET /v1/notices", spokehttp.JSONHandler(c.notices))
	service.Handle("POST /v1/start", spokehttp.JSONHandler(c.start))
	service.Handle("POST /v1/stop", spokehttp.JSONHandler(c.stop))
	mux := http.NewServeMux()
	mux.Handle("/", c.injector.wrap(service))
	mux.Handle("POST /control", controlHandler(c.Control))
	return mux
}

// LiveInstances returns all running and terminating instances, sorted by name.
func (c *CloudAPI) LiveInstances() []spokecloud.Instance {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.snapshot()
}

// Control executes a control call.
func (c *CloudAPI) Control(request CloudControlRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if request.Faults != nil {
		c.setFaults(*request.Faults)
	}
	for _, instance := range request.Register {
		instance.State = spokecloud.StateRunning
		c.live[instance.Name] = instance
	}
	c.pool = append(c.pool, request.Pool...)
	c.addressOverrides = append(c.addressOverrides, request.AddressOverrides...)
	if request.Reclaim != nil {
		c.reclaim(*request.Reclaim)
	}
	c.recordSnapshot()
}

func (c *CloudAPI) setFaults(faults CloudFaults) {
	if faults.ListFrozen && !c.faults.ListFrozen {
		c.frozenList = c.snapshot()
	}
	c.faults = faults
	c.injector.setFaults(faults.Faults)
}

func (c *CloudAPI) reclaim(request ReclaimRequest) {
	for name, instance := range c.live {
		isListed := slices.Contains(request.Instances, name)
		isInDataCentre := request.DataCentre == instance.DataCentre && instance.Reclaimable && instance.Role == spokecloud.RoleBackend
		if !isListed && !isInDataCentre {
			continue
		}
		if _, terminating := c.terminateAt[name]; terminating {
			continue
		}
		instance.State = spokecloud.StateTerminating
		c.live[name] = instance
		c.terminateAt[name] = c.Clock.Now() + request.NoticeTime
		go c.terminateAfterNotice(instance, request.NoticeTime)
	}
}

func (c *CloudAPI) terminateAfterNotice(instance spokecloud.Instance, notice spokeclock.Millis) {
	_ = spokeclock.Sleep(context.Background(), notice)
	c.removeInstance(instance.Name)
	c.killInstance(instance)
}

// standinClient sends the calls of stand-ins to each other.
var standinClient = spokehttp.NewClient()

func (c *CloudAPI) killInstance(instance spokecloud.Instance) {
	if c.KillFunc != nil {
		c.KillFunc(instance)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), spokeclock.Second.Duration())
	defer cancel()
	_, _ = spokehttp.PostJSON[struct{}](ctx, standinClient, "http://"+instance.Address+"/control/exit", struct{}{})
}

func (c *CloudAPI) removeInstance(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.live, name)
	delete(c.terminateAt, name)
	c.recordSnapshot()
}

func (c *CloudAPI) snapshot() []spokecloud.Instance {
	instances := make([]spokecloud.Instance, 0, len(c.live))
	for _, instance := range c.live {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b spokecloud.Instance) int { return strings.Compare(a.Name, b.Name) })
	return instances
}

func (c *CloudAPI) recordSnapshot() {
	c.history = append(c.history, listSnapshot{takenAt: c.Clock.Now(), instances: c.snapshot()})
	if len(c.history) > maxListSnapshots {
		c.history = c.history[1:]
	}
}

// visibleInstances returns the list of instances as it was ListLag ago, or when
// it was frozen.
func (c *CloudAPI) visibleInstances() []spokecloud.Instance {
	if c.faults.ListFrozen {
		return c.frozenList
	}
	visibleAt := c.Clock.Now() - c.faults.ListLag
	for i := len(c.history) - 1; i >= 0; i-- {
		if c.history[i].takenAt <= visibleAt || i == 0 {
			return c.history[i].instances
		}
	}
	return nil
}

// listHandler serves the list of instances to a viewer, with an entity tag: a
// viewer that sends the tag of an unchanged list gets status 304 without a
// body.
func (c *CloudAPI) listHandler(viewer string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, err := json.Marshal(c.instancesFor(viewer))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		entityTag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(text), entityTagBase))
		w.Header().Set("ETag", entityTag)
		if r.Header.Get("If-None-Match") == entityTag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
	}
}

const entityTagBase = 36

func (c *CloudAPI) instancesFor(viewer string) spokecloud.InstanceList {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	instances := slices.Clone(c.visibleInstances())
	for i := range instances {
		instances[i].Address = c.addressFor(viewer, instances[i])
	}
	return spokecloud.InstanceList{Instances: instances}
}

func (c *CloudAPI) addressFor(viewer string, instance spokecloud.Instance) string {
	for _, override := range c.addressOverrides {
		if override.Viewer == viewer && override.Instance == instance.Name {
			return override.Address
		}
	}
	return instance.Address
}

func (c *CloudAPI) notices(context.Context, struct{}) (spokecloud.ReclaimNotices, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var notices spokecloud.ReclaimNotices
	if c.faults.HideNotices {
		return notices, nil
	}
	for name, end := range c.terminateAt {
		timeLeft := max(0, end-c.Clock.Now())
		notices.Notices = append(notices.Notices, spokecloud.ReclaimNotice{Instance: name, TimeLeft: timeLeft})
	}
	return notices, nil
}

func (c *CloudAPI) start(_ context.Context, request spokecloud.StartRequest) (spokecloud.Instance, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if instance, ok := c.started[request.IdempotencyToken]; ok {
		return instance, nil
	}
	instance, ok := c.provisionInstance(request)
	if c.faults.RefuseStarts || !ok {
		return spokecloud.Instance{}, &spokehttp.StatusError{Code: http.StatusConflict, Body: "no capacity for such an instance"}
	}
	instance.State = spokecloud.StateRunning
	c.live[instance.Name] = instance
	c.started[request.IdempotencyToken] = instance
	c.recordSnapshot()
	return instance, nil
}

func (c *CloudAPI) provisionInstance(request spokecloud.StartRequest) (spokecloud.Instance, bool) {
	if c.faults.RefuseStarts {
		return spokecloud.Instance{}, false
	}
	if c.StartFunc != nil {
		return c.StartFunc(request)
	}
	i := slices.IndexFunc(c.pool, func(spare spokecloud.Instance) bool {
		return spare.DataCentre == request.DataCentre && spare.Service == request.Service && spare.Reclaimable == request.Reclaimable
	})
	if i < 0 {
		return spokecloud.Instance{}, false
	}
	spare := c.pool[i]
	c.pool = slices.Delete(c.pool, i, i+1)
	return spare, true
}

func (c *CloudAPI) stop(_ context.Context, request spokecloud.StopRequest) (struct{}, error) {
	c.mutex.Lock()
	instance, ok := c.live[request.Instance]
	c.mutex.Unlock()
	if !ok {
		return struct{}{}, &spokehttp.StatusError{Code: http.StatusNotFound, Body: "no such instance"}
	}
	c.removeInstance(request.Instance)
	go c.killInstance(instance)
	return struct{}{}, nil
}
