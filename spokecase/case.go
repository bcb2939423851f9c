package spokecase

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
)

// Read returns the content of a YAML file. A file that cannot be read, or a
// field that Cases does not have, fails the test.
func Read[Cases any](t testing.TB, path string) Cases {
	t.Helper()
	var cases Cases
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := yaml.UnmarshalWithOptions(text, &cases, yaml.DisallowUnknownField()); err != nil {
		t.Fatalf("%s: %s", path, yaml.FormatError(err, false, true))
	}
	return cases
}
