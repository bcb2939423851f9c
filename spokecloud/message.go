package spokecloud

import "mulberryspoke.example/mulberryspoke/spokeclock"

// Role is what an instance is for.
type Role string

const (
	// RoleEntry is an entry instance of this system.
	RoleEntry Role = "entry"
	// RoleBackend is a backend server.
	RoleBackend Role = "backend"
)

// State is what the platform last saw of an instance.
type State string

const (
	// StateRunning is an instance that runs.
	StateRunning State = "live"
	// StateTerminating is an instance that is going away.
	StateTerminating State = "leaving"
)

// Instance is a line of the list.
type Instance struct {
	// Name names the instance; no other ever has the same name.
	Name string `json:"name"`
	// Role is what it is for.
	Role Role `json:"role"`
	// Service names the service that a backend server serves.
	Service string `json:"service,omitempty"`
	// DataCentre is where it runs.
	DataCentre string `json:"data_centre"`
	// Address is its IP number and port.
	Address string `json:"address"`
	// State is what the platform last saw.
	State State `json:"state"`
	// MachineClass is its class.
	MachineClass string `json:"machine_class,omitempty"`
	// Reclaimable says that the platform may take it back.
	Reclaimable bool `json:"reclaimable,omitempty"`
	// Slots is how many requests it runs at once. Zero means that only its own
	// reports tell.
	Slots int `json:"slots,omitempty"`
	// Generation tells the runs of a name apart; a later one is greater.
	Generation int64 `json:"generation,omitempty"`
	// TimeLeft is the time until a leaving instance is gone. Zero means unknown.
	TimeLeft spokeclock.Millis `json:"left_millis,omitempty"`
}

// InstanceList is the whole list.
type InstanceList struct {
	// Instances are the lines.
	Instances []Instance `json:"instances"`
}

// ReclaimNotice announces that an instance will be taken back.
type ReclaimNotice struct {
	// Instance names the instance.
	Instance string `json:"instance"`
	// TimeLeft is the time left until it is gone.
	TimeLeft spokeclock.Millis `json:"left_millis"`
}

// ReclaimNotices are all that are in force.
type ReclaimNotices struct {
	// Notices are the announcements.
	Notices []ReclaimNotice `json:"notices"`
}

// StartRequest asks for an instance.
type StartRequest struct {
	// IdempotencyToken makes a repeat of the request start nothing more.
	IdempotencyToken string `json:"token"`
	// DataCentre is where it shall run.
	DataCentre string `json:"data_centre"`
	// MachineClass is the class.
	MachineClass string `json:"machine_class"`
	// Service is what it shall serve.
	Service string `json:"service"`
	// Reclaimable asks for the cheaper kind.
	Reclaimable bool `json:"reclaimable"`
}

// StopRequest gives an instance back.
type StopRequest struct {
	// Instance names the instance.
	Instance string `json:"instance"`
}
