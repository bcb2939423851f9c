package spokedemo

import (
	"bytes"
	"io/fs"

	"github.com/goccy/go-yaml"

	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeload"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindInvalidDeployment says that a deployment's files are not usable.
	KindInvalidDeployment Kind = "invalid_deployment"
	// KindStartFailed says that a part could not be started.
	KindStartFailed Kind = "start"
	// KindRequestsLost says that requests were lost.
	KindRequestsLost Kind = "lost"
)

// Deployment tells what a demo runs.
type Deployment struct {
	// OperatorKey is the operators' key.
	OperatorKey string `yaml:"operator_key"`
	// DataCentres are the places and what runs there.
	DataCentres []DataCentre `yaml:"data_centres"`
	// Traffic is the mix of requests.
	Traffic []spokeload.RequestKind `yaml:"traffic"`
}

// DataCentre is what runs in one place.
type DataCentre struct {
	// Name names the data centre.
	Name string `yaml:"name"`
	// EntryInstances is the number of entry instances.
	EntryInstances int `yaml:"entries"`
	// Servers are the backend servers.
	Servers []ServerGroup `yaml:"servers"`
}

// ServerGroup are some backend servers of one kind.
type ServerGroup struct {
	// Service names the service.
	Service string `yaml:"service"`
	// Kind is the kind of service.
	Kind spokeconfig.ServiceKind `yaml:"kind"`
	// Count is how many there are.
	Count int `yaml:"count"`
	// Slots is how many answers a model engine runs at once.
	Slots int `yaml:"slots"`
	// MachineClass is the class of machine.
	MachineClass string `yaml:"machine_class"`
	// Reclaimable says that the platform may take them back.
	Reclaimable bool `yaml:"reclaimable"`
}

// Example is a deployment with its declaration.
type Example struct {
	// Deployment tells what runs.
	Deployment Deployment
	// Declaration is the text of the declaration.
	Declaration []byte
}

// ReadExample reads an example from a folder of a file system. It returns an error of
// kind KindDeployment.
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
