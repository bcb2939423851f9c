package spokecloud

import (
	"context"
	"net/http"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnavailable means that the call failed or timed out.
	KindUnavailable Kind = "unavailable"
	// KindRefused means that the platform refused the call, for example a start
	// without free capacity.
	KindRefused Kind = "refused"
)

const callTimeout = spokeclock.Second

// Cloud is a client of the cloud API and the list of instances. Set its fields
// before the first call. It is safe for concurrent use.
type Cloud struct {
	// URL is the base URL of the cloud API.
	URL string
	// ListURL is the base URL of the list of instances.
	ListURL string
	// Client sends reads.
	Client *http.Client
	// NoKeepAliveClient starts and stops instances. It must not reuse connections, on
	// which a late copy of an earlier response could pass for theirs.
	NoKeepAliveClient *http.Client

	mutex sync.Mutex
	etag  string
}

// ListInstances returns the instances as last seen by the platform, and whether
// the list may differ from that of the previous call. It returns an error of kind
// KindRefused or KindUnavailable.
func (c *Cloud) ListInstances(ctx context.Context) ([]Instance, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	ctx, span := spoketrace.StartSpan(ctx, "platform list")
	c.mutex.Lock()
	etag := c.etag
	c.mutex.Unlock()
	list, newETag, err := spokehttp.GetJSONIfChanged[InstanceList](ctx, c.Client, c.ListURL+"/v1/instances", etag)
	span.End(err)
	if err != nil {
		return nil, false, wrapError("read instance list", err)
	}
	c.mutex.Lock()
	c.etag = newETag
	c.mutex.Unlock()
	return list.Instances, newETag == "" || newETag != etag, nil
}

// ReclaimNotices returns the active reclaim notices. It returns an error of kind
// KindRefused or KindUnavailable.
func (c *Cloud) ReclaimNotices(ctx context.Context) ([]ReclaimNotice, error) {
	notices, err := get[ReclaimNotices](ctx, c, c.URL+"/v1/notices")
	return notices.Notices, err
}

// StartInstance starts an instance. It returns an error of kind KindRefused or
// KindUnavailable. After KindUnavailable a retry with the same token is safe.
func (c *Cloud) StartInstance(ctx context.Context, request StartRequest) (Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	instance, err := spokehttp.PostJSON[Instance](ctx, c.NoKeepAliveClient, c.URL+"/v1/start", request)
	return instance, wrapError("start instance", err)
}

// StopInstance stops an instance. Its errors are those of StartInstance.
func (c *Cloud) StopInstance(ctx context.Context, request StopRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	_, err := spokehttp.PostJSON[struct{}](ctx, c.NoKeepAliveClient, c.URL+"/v1/stop", request)
	return wrapError("stop instance", err)
}

func get[Response any](ctx context.Context, c *Cloud, url string) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	ctx, span := spoketrace.StartSpan(ctx, "platform cloud")
	response, err := spokehttp.GetJSON[Response](ctx, c.Client, url)
	span.End(err)
	return response, wrapError("read reclaim notices", err)
}

func wrapError(operation string, err error) error {
	switch {
	case err == nil:
		return nil
	case spokeerror.KindOf[spokehttp.Kind](err) == spokehttp.KindRefused:
		return spokeerror.New(operation, KindRefused, err)
	default:
		return spokeerror.New(operation, KindUnavailable, err)
	}
}
