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

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindUnavailable says that the platform did not answer in time.
	KindUnavailable Kind = "unavailable"
	// KindRefused says that the platform refused, as a start for want of room.
	KindRefused Kind = "refused"
)

const callTimeout = spokeclock.Second

// Cloud is a client of the cloud API and the list. Set its fields before the
// first call. It is safe for concurrent use.
type Cloud struct {
	// URL is the address of the cloud API.
	URL string
	// ListURL is the address of the list.
	ListURL string
	// Client makes the calls.
	Client *http.Client

	mutex sync.Mutex
	tag   string
}

// ListInstances returns the instances as the platform last saw them, and whether that
// differs from what the last call returned. It returns an error of kind
// KindUnavailable.
func (c *Cloud) ListInstances(ctx context.Context) ([]Instance, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	ctx, span := spoketrace.Begin(ctx, "platform list")
	c.mutex.Lock()
	tag := c.tag
	c.mutex.Unlock()
	list, next, err := spokehttp.GetChanged[InstanceList](ctx, c.Client, c.ListURL+"/v1/instances", tag)
	span.End(err)
	if err != nil {
		return nil, false, failure("read list", err)
	}
	c.mutex.Lock()
	c.tag = next
	c.mutex.Unlock()
	return list.Instances, next == "" || next != tag, nil
}

// ReclaimNotices returns the reclaims that are announced. It returns an error of kind
// KindUnavailable.
func (c *Cloud) ReclaimNotices(ctx context.Context) ([]ReclaimNotice, error) {
	notices, err := get[ReclaimNotices](ctx, c, c.URL+"/v1/notices")
	return notices.Notices, err
}

// StartInstance asks for an instance. It returns an error of kind KindRefused or
// KindUnavailable; after the latter a repeat with the same token is safe.
func (c *Cloud) StartInstance(ctx context.Context, request StartRequest) (Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	instance, err := spokehttp.Call[Instance](ctx, c.Client, c.URL+"/v1/start", request)
	return instance, failure("start instance", err)
}

// StopInstance gives an instance back. Its errors are those of Start.
func (c *Cloud) StopInstance(ctx context.Context, request StopRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	_, err := spokehttp.Call[struct{}](ctx, c.Client, c.URL+"/v1/stop", request)
	return failure("stop instance", err)
}

func get[Answer any](ctx context.Context, c *Cloud, url string) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	ctx, span := spoketrace.Begin(ctx, "platform cloud")
	answer, err := spokehttp.Get[Answer](ctx, c.Client, url)
	span.End(err)
	return answer, failure("read instances", err)
}

func failure(operation string, err error) error {
	switch {
	case err == nil:
		return nil
	case spokeerror.KindOf[spokehttp.Kind](err) == spokehttp.KindRefused:
		return spokeerror.New(operation, KindRefused, err)
	default:
		return spokeerror.New(operation, KindUnavailable, err)
	}
}
