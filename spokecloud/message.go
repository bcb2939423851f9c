package spokecloud

import (
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokehttp"
)

// Role is the function of an instance.
type Role string

const (
	// RoleEntry means an entry instance of this system.
	RoleEntry Role = "entry"
	// RoleBackend means a backend server.
	RoleBackend Role = "backend"
)

// State is the state of an instance as last seen by the platform.
type State string

const (
	// StateRunning means that the instance runs.
	StateRunning State = "live"
	// StateTerminating means that the instance is about to be removed.
	StateTerminating State = "leaving"
)

// Instance is an entry of the list of instances.
type Instance struct {
	// Name is the name of the instance. No other instance ever has the same name.
	Name string `json:"name"`
	// Role is the function of the instance.
	Role Role `json:"role"`
	// Service is the name of the service that a backend server belongs to.
	Service string `json:"service,omitempty"`
	// DataCentre is the data centre that the instance runs in.
	DataCentre string `json:"data_centre"`
	// Address is the IP address and port.
	Address string `json:"address"`
	// State is the state as last seen by the platform.
	State State `json:"state"`
	// MachineClass is the machine class.
	MachineClass string `json:"machine_class,omitempty"`
	// Reclaimable reports whether the platform may reclaim the instance.
	Reclaimable bool `json:"reclaimable,omitempty"`
	// Slots is the number of requests that the instance runs concurrently. Zero
	// means that the number is known only from the instance's load reports.
	Slots int `json:"slots,omitempty"`
	// Generation distinguishes the runs of a name. A later run has a greater
	// number.
	Generation int64 `json:"generation,omitempty"`
	// SoftwareVersion is the version of a backend server's software. What servers of two
	// versions write to a stream doesn't fit together.
	SoftwareVersion string `json:"software_version,omitempty"`
	// TimeLeft is the time until a terminating instance is removed. Zero means
	// unknown.
	TimeLeft spokeclock.Millis `json:"left_millis,omitempty"`
}

// InstanceList is the list of instances.
type InstanceList struct {
	// Instances are the entries of the list.
	Instances spokehttp.Entries[Instance] `json:"instances"`
}

// ReclaimNotice announces that an instance will be reclaimed.
type ReclaimNotice struct {
	// Instance is the name of the instance.
	Instance string `json:"instance"`
	// TimeLeft is the time until the instance is removed.
	TimeLeft spokeclock.Millis `json:"left_millis"`
}

// ReclaimNotices is the list of active notices.
type ReclaimNotices struct {
	// Notices are the active notices.
	Notices spokehttp.Entries[ReclaimNotice] `json:"notices"`
}

// StartRequest is a request to start an instance.
type StartRequest struct {
	// IdempotencyToken identifies the request. A retry with the same token starts
	// no further instance.
	IdempotencyToken string `json:"token"`
	// DataCentre is the data centre to start the instance in.
	DataCentre string `json:"data_centre"`
	// MachineClass is the machine class of the instance.
	MachineClass string `json:"machine_class"`
	// Service is the name of the service that the instance is for.
	Service string `json:"service"`
	// Reclaimable requests a reclaimable instance, which is cheaper.
	Reclaimable bool `json:"reclaimable"`
}

// StopRequest is a request to stop an instance.
type StopRequest struct {
	// Instance is the name of the instance.
	Instance string `json:"instance"`
}
