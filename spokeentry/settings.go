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
	// KindInvalidSetting says that a setting is not allowed.
	KindInvalidSetting Kind = "invalid_setting"
	// KindListenFailed says that an address could not be listened on.
	KindListenFailed Kind = "listen"
	// KindRequestsAborted says that shutting down left requests unanswered.
	KindRequestsAborted Kind = "requests_cut"
)

const (
	keyHashDigits  = 64
	largestBody    = 64 << 20
	peerParts      = 3
	largestGrace   = 3600 * spokeclock.Second
	maxPortsNumber = 65535
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
	DisabledMechanisms []string          `long:"switch-off" env:"MULBERRYSPOKE_SWITCH_OFF" env-delim:"," description:"Mechanism to turn off, for tests and measurements: resume, claims, move, cache_move, priority, admission, slow_move"`
}

// Check returns an error of kind KindSetting that names the first flag with a
// value that is not allowed, the value, and what is.
func (s *Settings) Check() error {
	c := &settingChecker{}
	c.that(s.Name != "" && !strings.ContainsAny(s.Name, "@/ "), "name", s.Name, "a name without spaces, @ and /")
	c.that(s.DataCentre != "" && !strings.ContainsAny(s.DataCentre, "@/ "), "data-centre", s.DataCentre, "a name without spaces, @ and /")
	c.address("caller-address", s.CallerAddress)
	c.address("operator-address", s.OperatorAddress)
	c.address("peer-address", s.PeerAddress)
	if s.PeerAdvertise != "" {
		c.address("peer-advertise", s.PeerAdvertise)
	}
	c.url("table-url", s.TableURL)
	c.url("object-url", s.ObjectURL)
	c.url("cloud-url", s.CloudURL)
	c.url("list-url", s.ListURL)
	hash, err := hex.DecodeString(s.OperatorKeySHA256)
	c.that(err == nil && len(hash)*2 == keyHashDigits, "operator-key-sha256", s.OperatorKeySHA256, "64 hexadecimal digits")
	c.that(slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel), "log-level", s.LogLevel, "debug, info, warn, error")
	c.that(slices.Contains([]string{"none", "json"}, s.TraceExporter), "trace", s.TraceExporter, "none, json")
	c.that(s.UnreadyDelay >= 0 && s.UnreadyDelay <= largestGrace, "unready-millis", strconv.FormatInt(int64(s.UnreadyDelay), 10), "0 to 3600000")
	c.that(s.GracePeriod >= 0 && s.GracePeriod <= largestGrace, "grace-millis", strconv.FormatInt(int64(s.GracePeriod), 10), "0 to 3600000")
	c.that(s.MaxBodyBytes > 0 && s.MaxBodyBytes <= largestBody, "max-body-bytes", strconv.FormatInt(s.MaxBodyBytes, 10), "1 to 67108864")
	for _, peer := range s.SeedPeers {
		_, err := parsePeer(peer)
		c.that(err == nil, "peer", peer, "name@data-centre@ip:port")
	}
	for _, name := range s.DisabledMechanisms {
		c.that(slices.Contains([]string{"resume", "claims", "move", "cache_move", "priority", "admission", "slow_move"}, name), "switch-off", name, "resume, claims, move, cache_move, priority, admission, slow_move")
	}
	return c.err
}

type settingChecker struct {
	err error
}

func (c *settingChecker) that(holds bool, flag, value, allowed string) {
	if holds || c.err != nil {
		return
	}
	c.err = spokeerror.Newf("check settings", KindInvalidSetting, "--%s is %q; allowed: %s", flag, value, allowed)
}

func (c *settingChecker) address(flag, value string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	good := err == nil && portErr == nil && net.ParseIP(host) != nil && number >= 0 && number <= maxPortsNumber
	c.that(good, flag, value, "an IP number and a port, as 127.0.0.1:8080")
}

func (c *settingChecker) url(flag, value string) {
	parsed, err := url.Parse(value)
	c.that(err == nil && parsed.Scheme == "http" && parsed.Host != "", flag, value, "a URL, as http://127.0.0.1:9000")
}

func parsePeer(text string) (spokemember.Identity, error) {
	parts := strings.Split(text, "@")
	if len(parts) != peerParts {
		return spokemember.Identity{}, spokeerror.Newf("read peer", KindInvalidSetting, "%q", text)
	}
	c := &settingChecker{}
	c.address("peer", parts[2])
	return spokemember.Identity{Name: parts[0], DataCentre: parts[1], Address: parts[2]}, c.err
}
