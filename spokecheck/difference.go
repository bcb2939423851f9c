package spokecheck

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

// Compare returns the changes that applying a configuration makes, ordered by item.
func Compare(inForce, proposed *spokeconfig.Declaration) []Difference {
	before := make(map[string][]byte)
	for _, item := range inForce.Items() {
		before[item.Key] = item.Value
	}
	var differences []Difference
	for _, change := range spokeconfig.Diff(inForce.Items(), proposed.Items()) {
		difference := Difference{change: change.Kind(), item: change.Item().Key}
		if change.Kind() == spokeconfig.ChangeChanged {
			difference.fields = changedFields(before[change.Item().Key], change.Item().Value)
		}
		differences = append(differences, difference)
	}
	return differences
}

// changedFields compares the fields of two JSON objects. A missing field counts as null.
func changedFields(before, after []byte) []string {
	var old, changed map[string]json.RawMessage
	if json.Unmarshal(before, &old) != nil || json.Unmarshal(after, &changed) != nil {
		return nil
	}
	names := make(map[string]bool)
	for name := range old {
		names[name] = true
	}
	for name := range changed {
		names[name] = true
	}
	var fields []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !bytes.Equal(old[name], changed[name]) {
			fields = append(fields, name+": "+orNull(old[name])+" -> "+orNull(changed[name]))
		}
	}
	return fields
}

func orNull(value json.RawMessage) string {
	if len(value) == 0 {
		return "null"
	}
	return string(value)
}
