package spokeentry_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeentry"
)

type settingCase struct {
	Name  string            `yaml:"name"`
	Set   map[string]string `yaml:"set"`
	Error string            `yaml:"error"`
}

// TestSettings checks that the error for an invalid setting names its flag, its
// value and what is allowed.
func TestSettings(t *testing.T) {
	cases := spokecase.Read[[]settingCase](t, "testdata/settings.yaml")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			settings := validSettings()
			for name, value := range c.Set {
				setField(t, &settings, name, value)
			}
			err := settings.Check()
			if c.Error == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, c.Error)
		})
	}
}

func validSettings() spokeentry.Settings {
	return spokeentry.Settings{
		Name: "entry-1", DataCentre: "a", CallerAddress: "127.0.0.1:1", OperatorAddress: "127.0.0.1:2", PeerAddress: "127.0.0.1:3",
		TableURL: "http://127.0.0.1:4", ObjectURL: "http://127.0.0.1:5", CloudURL: "http://127.0.0.1:6", ListURL: "http://127.0.0.1:6",
		OperatorKeySHA256: strings.Repeat("ab", 32), LogLevel: "info", TraceExporter: "none", MaxBodyBytes: 1,
	}
}

func setField(t *testing.T, s *spokeentry.Settings, name, value string) {
	t.Helper()
	fields := map[string]*string{
		"name": &s.Name, "data_centre": &s.DataCentre, "caller_address": &s.CallerAddress, "operator_address": &s.OperatorAddress,
		"peer_address": &s.PeerAddress, "table_url": &s.TableURL, "operator_key": &s.OperatorKeySHA256, "log_level": &s.LogLevel, "trace": &s.TraceExporter,
	}
	switch name {
	case "peer":
		s.SeedPeers = []string{value}
	case "caller_memory", "caller_connections", "peer_connections":
		number, err := strconv.Atoi(value)
		require.NoError(t, err)
		*map[string]*int{"caller_memory": &s.BudgetMegabytes, "caller_connections": &s.Connections, "peer_connections": &s.PeerConnections}[name] = number
	case "switch_off":
		s.DisabledMechanisms = []string{value}
	default:
		require.Contains(t, fields, name)
		*fields[name] = value
	}
}
