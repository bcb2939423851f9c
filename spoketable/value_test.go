package spoketable_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const testValueBytes = 1000

type valueCase struct {
	Name  string `yaml:"name"`
	Value string `yaml:"value"`
	// Repeated replaces the N in the value by that many sevens, and the brackets by as
	// many.
	Repeated int  `yaml:"repeated"`
	IsKept   bool `yaml:"kept"`
}

// TestBoundedValue guards against values of rows that make each message which contains
// them unreadable.
func TestBoundedValue(t *testing.T) {
	for _, c := range spokecase.Read[[]valueCase](t, "testdata/values.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			value := c.Value
			if c.Repeated > 0 {
				value = strings.NewReplacer("N", strings.Repeat("7", c.Repeated), "[", strings.Repeat("[", c.Repeated), "]", strings.Repeat("]", c.Repeated)).Replace(value)
			}
			bounded := spoketable.BoundedValue([]byte(value), testValueBytes)
			if !c.IsKept {
				require.Empty(t, bounded)
				return
			}
			require.Equal(t, value, string(bounded))
			// Any reader must be able to decode a message with the value.
			text, err := json.Marshal(spoketable.Row{Key: "k", Value: bounded})
			require.NoError(t, err)
			var message any
			require.NoError(t, json.Unmarshal(text, &message))
		})
	}
}
