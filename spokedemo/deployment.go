package spokedemo

import (
	"bytes"
	"io/fs"

	"github.com/goccy/go-yaml"

	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeload"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindInvalidDeployment means that a file of the deployment is missing or
	// invalid.
	KindInvalidDeployment Kind = "invalid_deployment"
	// KindStartFailed means that a part of the deployment could not be started,
	// or that an entry instance was not ready in time.
	KindStartFailed Kind = "start"
	// KindRequestsLost means that requests of the demo got no answer or a wrong
	// one.
	KindRequestsLost Kind = "lost"
)

// Deployment describes the processes and the traffic of a demo.
type Deployment struct {
	// OperatorKey is the key that authorises operators' calls.
	OperatorKey string `yaml:"operator_key"`
	// DataCentres are the data centres and what runs in each.
	DataCentres []DataCentre `yaml:"data_centres"`
	// Traffic is the mix of requests that the demo sends.
	Traffic []spokeload.RequestKind `yaml:"traffic"`
}

// DataCentre describes what runs in one data centre.
type DataCentre struct {
	// Name is the name of the data centre.
	Name string `yaml:"name"`
	// EntryInstances is the number of entry instances.
	EntryInstances int `yaml:"entries"`
	// Servers are the groups of backend servers.
	Servers []ServerGroup `yaml:"servers"`
}

// ServerGroup describes several equal backend servers of one service.
type ServerGroup struct {
	// Service is the name of the service.
	Service string `yaml:"service"`
	// Kind is the kind of service.
	Kind spokeconfig.ServiceKind `yaml:"kind"`
	// Count is the number of backend servers.
	Count int `yaml:"count"`
	// Slots is how many answers each model engine generates at the same time.
	Slots int `yaml:"slots"`
	// MachineClass is the machine class of the instances.
	MachineClass string `yaml:"machine_class"`
	// Reclaimable marks instances that the platform may reclaim.
	Reclaimable bool `yaml:"reclaimable"`
}

// Example is a deployment together with its declaration.
type Example struct {
	// Deployment describes what runs.
	Deployment Deployment
	// Declaration is the YAML text of the declaration.
	Declaration []byte
}

// ReadExample reads deployment.yaml and declaration.yaml from a folder of a
// file system. It returns an error of kind KindInvalidDeployment if one of them
// is missing or invalid.
func ReadExample(files fs.FS, folder string) (Example, error) {
	text, err := fs.ReadFile(files, folder+"/deployment.yaml")
	if err != nil {
		return Example{}, spokeerror.New("read deployment", KindInvalidDeployment, err)
	}
	var example Example
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField())
	if err := decoder.Decode(&example.Deployment); err != nil {
		return Example{}, spokeerror.New("read deployment", KindInvalidDeployment, err)
	}
	example.Declaration, err = fs.ReadFile(files, folder+"/declaration.yaml")
	if err != nil {
		return Example{}, spokeerror.New("read deployment", KindInvalidDeployment, err)
	}
	if _, err := spokeconfig.Parse(example.Declaration); err != nil {
		return Example{}, spokeerror.New("read deployment", KindInvalidDeployment, err)
	}
	return example, nil
}
