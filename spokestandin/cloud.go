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

const historyLimit = 4096

// CloudControlRequest tells a cloud stand-in what to do.
type CloudControlRequest struct {
	// Faults are set on every call when given.
	Faults *CloudFaults `json:"faults,omitempty"`
	// Register adds or replaces instances.
	Register []spokecloud.Instance `json:"register,omitempty"`
	// Pool adds instances that a start may hand out.
	Pool []spokecloud.Instance `json:"pool,omitempty"`
	// Reclaim takes instances back after a notice.
	Reclaim *ReclaimRequest `json:"reclaim,omitempty"`
	// AddressOverrides give viewers other addresses of instances.
	AddressOverrides []AddressOverride `json:"routes,omitempty"`
}

// CloudFaults are the faults of a cloud stand-in.
type CloudFaults struct {
	Faults `yaml:",inline"`
	// RefuseStarts refuses every start.
	RefuseStarts bool `json:"refuse_starts,omitempty"`
	// HideNotices announces no reclaim.
	HideNotices bool `json:"hide_notices,omitempty"`
	// ListLag is how old the list is.
	ListLag spokeclock.Millis `json:"list_lag_millis,omitempty"`
	// ListFrozen serves the list as it was when this was set.
	ListFrozen bool `json:"list_frozen,omitempty"`
}

// ReclaimRequest announces that instances will be taken back, and does so.
type ReclaimRequest struct {
	// Instances name the instances.
	Instances []string `json:"instances,omitempty"`
	// DataCentre adds every reclaimable backend server of a data centre.
	DataCentre string `json:"data_centre,omitempty"`
	// NoticeTime is the time from the announcement to the end.
	NoticeTime spokeclock.Millis `json:"notice_millis"`
}

// AddressOverride makes one viewer see another address of an instance.
type AddressOverride struct {
	// Viewer names the viewer, as it stands in its list's URL.
	Viewer string `json:"viewer"`
	// Instance names the instance.
	Instance string `json:"instance"`
	// Address is what the viewer sees.
	Address string `json:"address"`
}

// CloudAPI is a cloud API with a lagging list. Set its fields before Handler.
type CloudAPI struct {
	// KillFunc ends an instance. Nil sends it a control call that makes it
	// exit.
	KillFunc func(spokecloud.Instance)
	// StartFunc starts an instance. Nil takes one from the pool.
	StartFunc func(spokecloud.StartRequest) (spokecloud.Instance, bool)
	// Clock tells the time. Nil means the real one.
	Clock *spokeclock.Clock

	faulty  faulty
	mutex   sync.Mutex
	faults  CloudFaults
	live    map[string]spokecloud.Instance
	pool    []spokecloud.Instance
	started map[string]spokecloud.Instance
	ends    map[string]spokeclock.Millis
	routes  []AddressOverride
	history []listed
	frozen  []spokecloud.Instance
}

type listed struct {
	at        spokeclock.Millis
	instances []spokecloud.Instance
}

// Handler returns the service's HTTP interface.
func (c *CloudAPI) Handler() http.Handler {
	c.live = make(map[string]spokecloud.Instance)
	c.started = make(map[string]spokecloud.Instance)
	c.ends = make(map[string]spokeclock.Millis)
	service := http.NewServeMux()
	service.HandleFunc("GET /v1/instances", c.list(""))
	service.HandleFunc("GET /view/{viewer}/v1/instances", func(w http.ResponseWriter, r *http.Request) {
		c.list(r.PathValue("viewer")).ServeHTTP(w, r)
	})
	service.Handle("GET /v1/notices", spokehttp.JSONHandler(c.notices))
	service.Handle("POST /v1/start", spokehttp.JSONHandler(c.start))
	service.Handle("POST /v1/stop", spokehttp.JSONHandler(c.stop))
	mux := http.NewServeMux()
	mux.Handle("/", c.faulty.wrap(service))
	mux.Handle("POST /control", control(c.Control))
	return mux
}

// LiveInstances returns the instances that run.
func (c *CloudAPI) LiveInstances() []spokecloud.Instance {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.snapshot()
}

// Control does what a control call asks for.
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
	c.routes = append(c.routes, request.AddressOverrides...)
	if request.Reclaim != nil {
		c.reclaim(*request.Reclaim)
	}
	c.record()
}

func (c *CloudAPI) setFaults(faults CloudFaults) {
	if faults.ListFrozen && !c.faults.ListFrozen {
		c.frozen = c.snapshot()
	}
	c.faults = faults
	c.faulty.set(faults.Faults)
}

func (c *CloudAPI) reclaim(wave ReclaimRequest) {
	for name, instance := range c.live {
		named := slices.Contains(wave.Instances, name)
		placed := wave.DataCentre == instance.DataCentre && instance.Reclaimable && instance.Role == spokecloud.RoleBackend
		if !named && !placed {
			continue
		}
		if _, already := c.ends[name]; already {
			continue
		}
		instance.State = spokecloud.StateTerminating
		c.live[name] = instance
		c.ends[name] = c.Clock.Now() + wave.NoticeTime
		go c.endLater(instance, wave.NoticeTime)
	}
}

func (c *CloudAPI) endLater(instance spokecloud.Instance, notice spokeclock.Millis) {
	_ = spokeclock.Sleep(context.Background(), notice)
	c.remove(instance.Name)
	c.kill(instance)
}

func (c *CloudAPI) kill(instance spokecloud.Instance) {
	if c.KillFunc != nil {
		c.KillFunc(instance)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), spokeclock.Second.Duration())
	defer cancel()
	_, _ = spokehttp.PostJSON[struct{}](ctx, http.DefaultClient, "http://"+instance.Address+"/control/exit", struct{}{})
}

func (c *CloudAPI) remove(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.live, name)
	delete(c.ends, name)
	c.record()
}

func (c *CloudAPI) snapshot() []spokecloud.Instance {
	instances := make([]spokecloud.Instance, 0, len(c.live))
	for _, instance := range c.live {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b spokecloud.Instance) int { return strings.Compare(a.Name, b.Name) })
	return instances
}

func (c *CloudAPI) record() {
	c.history = append(c.history, listed{at: c.Clock.Now(), instances: c.snapshot()})
	if len(c.history) > historyLimit {
		c.history = c.history[1:]
	}
}

// seen returns the list as it was the lag ago.
func (c *CloudAPI) seen() []spokecloud.Instance {
	if c.faults.ListFrozen {
		return c.frozen
	}
	horizon := c.Clock.Now() - c.faults.ListLag
	for i := len(c.history) - 1; i >= 0; i-- {
		if c.history[i].at <= horizon || i == 0 {
			return c.history[i].instances
		}
	}
	return nil
}

// list serves the list to a viewer, with a tag by which an unchanged one is
// not sent again.
func (c *CloudAPI) list(viewer string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, err := json.Marshal(c.instancesFor(viewer))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(text), tagBase))
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
	}
}

const tagBase = 36

func (c *CloudAPI) instancesFor(viewer string) spokecloud.InstanceList {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	instances := slices.Clone(c.seen())
	for i := range instances {
		instances[i].Address = c.addressFor(viewer, instances[i])
	}
	return spokecloud.InstanceList{Instances: instances}
}

func (c *CloudAPI) addressFor(viewer string, instance spokecloud.Instance) string {
	for _, route := range c.routes {
		if route.Viewer == viewer && route.Instance == instance.Name {
			return route.Address
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
	for name, end := range c.ends {
		left := max(0, end-c.Clock.Now())
		notices.Notices = append(notices.Notices, spokecloud.ReclaimNotice{Instance: name, TimeLeft: left})
	}
	return notices, nil
}

func (c *CloudAPI) start(_ context.Context, request spokecloud.StartRequest) (spokecloud.Instance, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if instance, ok := c.started[request.IdempotencyToken]; ok {
		return instance, nil
	}
	instance, ok := c.provide(request)
	if c.faults.RefuseStarts || !ok {
		return spokecloud.Instance{}, &spokehttp.StatusError{Code: http.StatusConflict, Body: "no room for such an instance"}
	}
	instance.State = spokecloud.StateRunning
	c.live[instance.Name] = instance
	c.started[request.IdempotencyToken] = instance
	c.record()
	return instance, nil
}

func (c *CloudAPI) provide(request spokecloud.StartRequest) (spokecloud.Instance, bool) {
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
	c.remove(request.Instance)
	go c.kill(instance)
	return struct{}{}, nil
}
