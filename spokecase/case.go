package spokecase

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
)

// Read decodes a YAML file into a value of type Cases. It fails the test at once
// if the file cannot be read or decoded, or has a field that Cases lacks.
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
