package spokeentry

import (
	"encoding/hex"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokemember"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindInvalidSetting means that a setting is not allowed.
	KindInvalidSetting Kind = "invalid_setting"
	// KindListenFailed means that an address could not be listened on.
	KindListenFailed Kind = "listen"
	// KindRequestsAborted means that the shutdown cut off requests in flight.
	KindRequestsAborted Kind = "requests_cut"
)

const (
	keyHashHexDigits = 64
	maxBodyBytes     = 64 << 20
	maxCallerLimit   = 1 << 20
	peerFields       = 3
	maxShutdownTime  = 3600 * spokeclock.Second
	maxPort          = 65535
)

// Settings are the flags and environment variables of an entry instance.
type Settings struct {
	Name               string            `long:"name" env:"MULBERRYSPOKE_NAME" description:"Name of this instance; no other ever has the same" required:"true"`
	DataCentre         string            `long:"data-centre" env:"MULBERRYSPOKE_DATA_CENTRE" description:"Data centre that it runs in" required:"true"`
	CallerAddress      string            `long:"caller-address" env:"MULBERRYSPOKE_CALLER_ADDRESS" description:"IP and port for callers" default:"127.0.0.1:8080"`
	OperatorAddress    string            `long:"operator-address" env:"MULBERRYSPOKE_OPERATOR_ADDRESS" description:"IP and port for operators and metrics" default:"127.0.0.1:8081"`
	PeerAddress        string            `long:"peer-address" env:"MULBERRYSPOKE_PEER_ADDRESS" description:"IP and port for other entry instances" default:"127.0.0.1:8082"`
	PeerAdvertise      string            `long:"peer-advertise" env:"MULBERRYSPOKE_PEER_ADVERTISE" description:"IP and port told to other entry instances, if not the one listened on"`
	SeedPeers          []string          `long:"peer" env:"MULBERRYSPOKE_PEERS" env-delim:"," description:"An entry instance to begin with, as name@data-centre@ip:port"`
	TableURL           string            `long:"table-url" env:"MULBERRYSPOKE_TABLE_URL" description:"Table service" required:"true"`
	ObjectURL          string            `long:"object-url" env:"MULBERRYSPOKE_OBJECT_URL" description:"Object store" required:"true"`
	CloudURL           string            `long:"cloud-url" env:"MULBERRYSPOKE_CLOUD_URL" description:"Cloud API" required:"true"`
	ListURL            string            `long:"list-url" env:"MULBERRYSPOKE_LIST_URL" description:"List of instances" required:"true"`
	OperatorKeySHA256  string            `long:"operator-key-sha256" env:"MULBERRYSPOKE_OPERATOR_KEY_SHA256" description:"Hexadecimal SHA-256 of the operators' key" required:"true"`
	LogLevel           string            `long:"log-level" env:"MULBERRYSPOKE_LOG_LEVEL" description:"debug, info, warn or error" default:"info"`
	TraceExporter      string            `long:"trace" env:"MULBERRYSPOKE_TRACE" description:"Exporter of traces: none or json (to standard error)" default:"none"`
	UnreadyDelay       spokeclock.Millis `long:"unready-millis" env:"MULBERRYSPOKE_UNREADY_MILLIS" description:"Time from unready to refusing requests when shutting down" default:"1000"`
	GracePeriod        spokeclock.Millis `long:"grace-millis" env:"MULBERRYSPOKE_GRACE_MILLIS" description:"Time for requests under way when shutting down" default:"120000"`
	MaxBodyBytes       int64             `long:"max-body-bytes" env:"MULBERRYSPOKE_MAX_BODY_BYTES" description:"Largest request body" default:"1048576"`
	BudgetMegabytes    int               `long:"caller-memory-mb" env:"MULBERRYSPOKE_CALLER_MEMORY_MB" description:"Memory in MB that callers' requests may hold; 0: derived from GOMEMLIMIT, without a bound if that is not set" default:"0"`
	Connections        int               `long:"caller-connections" env:"MULBERRYSPOKE_CALLER_CONNECTIONS" description:"Largest number of callers' connections; 0: derived from GOMEMLIMIT and the limit of open files" default:"0"`
	PeerConnections    int               `long:"peer-connections" env:"MULBERRYSPOKE_PEER_CONNECTIONS" description:"Largest number of connections from other entry instances; 0: derived from the limit of open files" default:"0"`
	DisabledMechanisms []string          `long:"switch-off" env:"MULBERRYSPOKE_SWITCH_OFF" env-delim:"," description:"Mechanism to turn off, for tests and measurements: resume, claims, move, cache_move, priority, admission, slow_move"`
}

// Check validates the settings. It returns an error of kind KindInvalidSetting
// that names the first flag with an invalid value, the value and what is
// allowed.
func (s *Settings) Check() error {
	v := &validator{}
	v.require(s.Name != "" && !strings.ContainsAny(s.Name, "@/ "), "name", s.Name, "a name without spaces, @ and /")
	v.require(s.DataCentre != "" && !strings.ContainsAny(s.DataCentre, "@/ "), "data-centre", s.DataCentre, "a name without spaces, @ and /")
	v.address("caller-address", s.CallerAddress)
	v.address("operator-address", s.OperatorAddress)
	v.address("peer-address", s.PeerAddress)
	if s.PeerAdvertise != "" {
		v.address("peer-advertise", s.PeerAdvertise)
	}
	v.url("table-url", s.TableURL)
	v.url("object-url", s.ObjectURL)
	v.url("cloud-url", s.CloudURL)
	v.url("list-url", s.ListURL)
	hash, err := hex.DecodeString(s.OperatorKeySHA256)
	v.require(err == nil && len(hash)*2 == keyHashHexDigits, "operator-key-sha256", s.OperatorKeySHA256, "64 hexadecimal digits")
	v.require(slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel), "log-level", s.LogLevel, "debug, info, warn, error")
	v.require(slices.Contains([]string{"none", "json"}, s.TraceExporter), "trace", s.TraceExporter, "none, json")
	v.require(s.UnreadyDelay >= 0 && s.UnreadyDelay <= maxShutdownTime, "unready-millis", strconv.FormatInt(int64(s.UnreadyDelay), 10), "0 to 3600000")
	v.require(s.GracePeriod >= 0 && s.GracePeriod <= maxShutdownTime, "grace-millis", strconv.FormatInt(int64(s.GracePeriod), 10), "0 to 3600000")
	v.require(s.MaxBodyBytes > 0 && s.MaxBodyBytes <= maxBodyBytes, "max-body-bytes", strconv.FormatInt(s.MaxBodyBytes, 10), "1 to 67108864")
	v.require(s.BudgetMegabytes >= 0 && s.BudgetMegabytes <= maxCallerLimit, "caller-memory-mb", strconv.Itoa(s.BudgetMegabytes), "0 to 1048576")
	v.require(s.Connections >= 0 && s.Connections <= maxCallerLimit, "caller-connections", strconv.Itoa(s.Connections), "0 to 1048576")
	v.require(s.PeerConnections >= 0 && s.PeerConnections <= maxCallerLimit, "peer-connections", strconv.Itoa(s.PeerConnections), "0 to 1048576")
	for _, peer := range s.SeedPeers {
		_, err := parsePeer(peer)
		v.require(err == nil, "peer", peer, "name@data-centre@ip:port")
	}
	for _, name := range s.DisabledMechanisms {
		v.require(slices.Contains([]string{"resume", "claims", "move", "cache_move", "priority", "admission", "slow_move"}, name), "switch-off", name, "resume, claims, move, cache_move, priority, admission, slow_move")
	}
	return v.err
}

// validator records the first invalid setting.
type validator struct {
	err error
}

func (v *validator) require(valid bool, flag, value, allowed string) {
	if valid || v.err != nil {
		return
	}
	v.err = spokeerror.Newf("check settings", KindInvalidSetting, "--%s is %q; allowed: %s", flag, value, allowed)
}

func (v *validator) address(flag, value string) {
	host, port, err := net.SplitHostPort(value)
	portNumber, portErr := strconv.Atoi(port)
	valid := err == nil && portErr == nil && net.ParseIP(host) != nil && portNumber >= 0 && portNumber <= maxPort
	v.require(valid, flag, value, "an IP number and a port, as 127.0.0.1:8080")
}

func (v *validator) url(flag, value string) {
	parsed, err := url.Parse(value)
	v.require(err == nil && parsed.Scheme == "http" && parsed.Host != "", flag, value, "a URL, as http://127.0.0.1:9000")
}

// parsePeer parses a seed peer, as name@data-centre@ip:port.
func parsePeer(text string) (spokemember.Identity, error) {
	fields := strings.Split(text, "@")
	if len(fields) != peerFields {
		return spokemember.Identity{}, spokeerror.Newf("parse seed peer", KindInvalidSetting, "%q is not name@data-centre@ip:port", text)
	}
	v := &validator{}
	v.address("peer", fields[2])
	return spokemember.Identity{Name: fields[0], DataCentre: fields[1], Address: fields[2]}, v.err
}
