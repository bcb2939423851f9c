package spokeconfig

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindInvalid says that a declaration is malformed or contradicts itself.
	KindInvalid Kind = "invalid"
	// KindGap says that a delta starts behind the revision held.
	KindGap Kind = "gap"
	// KindConflict says that another change came first.
	KindConflict Kind = "conflict"
	// KindUnavailable says that the table service did not answer.
	KindUnavailable Kind = "unavailable"
	// KindOutcomeUnknown says that a change may or may not have been accepted.
	KindOutcomeUnknown Kind = "unknown"
)

const (
	formatVersion           = 1
	defaultTimeout          = 120 * spokeclock.Second
	defaultLongAnswerTokens = 256
	defaultPriority         = 5
	maxPriority             = 9
	keyHashBytes            = 32
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)

// Parse reads a declaration from YAML and checks it as a whole. It returns an
// error of kind KindInvalid that names the field, the value and what is
// allowed.
func Parse(text []byte) (Declaration, error) {
	var declaration Declaration
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField())
	if err := decoder.Decode(&declaration); err != nil {
		return Declaration{}, spokeerror.Newf("parse declaration", KindInvalid, "%s", yaml.FormatError(err, false, false))
	}
	if err := declaration.Validate(); err != nil {
		return Declaration{}, err
	}
	return declaration, nil
}

// Format writes a declaration as YAML.
func Format(declaration Declaration) ([]byte, error) {
	text, err := yaml.Marshal(declaration)
	if err != nil {
		return nil, spokeerror.New("format declaration", KindInvalid, err)
	}
	return text, nil
}

// Validate returns an error of kind KindInvalid for the first contradiction.
func (d *Declaration) Validate() error {
	c := &checker{}
	c.that(d.Version == formatVersion, "version", d.Version, "1")
	c.that(len(d.DataCentres) > 0, "data_centres", "empty", "at least one data centre")
	c.that(len(d.Services) > 0, "services", "empty", "at least one service")
	c.dataCentres(d.DataCentres)
	c.services(d.Services)
	c.workspaces(d.Workspaces)
	c.prices(d)
	if c.problem == "" {
		return nil
	}
	return spokeerror.Newf("check declaration", KindInvalid, "%s", c.problem)
}

// checker keeps the first problem found.
type checker struct {
	problem string
}

func (c *checker) that(holds bool, field string, value any, allowed string) {
	if holds || c.problem != "" {
		return
	}
	c.problem = fmt.Sprintf("%s is %v; allowed: %s", field, value, allowed)
}

func (c *checker) names(field string, names []string) {
	seen := make([]string, 0, len(names))
	for _, name := range names {
		c.that(namePattern.MatchString(name), field+".name", fmt.Sprintf("%q", name), "lower-case letters, digits, dots, dashes and underscores, at most 63")
		c.that(!slices.Contains(seen, name), field+".name", fmt.Sprintf("%q twice", name), "each name once")
		seen = append(seen, name)
	}
}

func (c *checker) dataCentres(places []DataCentre) {
	names := make([]string, 0, len(places))
	for _, place := range places {
		names = append(names, place.Name)
		c.that(place.Region != "", "data_centres."+place.Name+".region", "empty", "a region's name")
	}
	c.names("data_centres", names)
}

func (c *checker) services(services []Service) {
	names := make([]string, 0, len(services))
	for i := range services {
		names = append(names, services[i].Name)
		c.service(&services[i])
	}
	c.names("services", names)
}

func (c *checker) service(s *Service) {
	field := "services." + s.Name + "."
	c.that(s.Kind == ServiceModel || s.Kind == ServicePlain, field+"kind", fmt.Sprintf("%q", s.Kind), "model, plain")
	c.that(s.FirstTokenTarget >= 0, field+"first_token_target_millis", s.FirstTokenTarget, "zero or more")
	c.that(s.TokenGapTarget >= 0, field+"token_gap_target_millis", s.TokenGapTarget, "zero or more")
	c.that(s.Timeout >= 0, field+"timeout_millis", s.Timeout, "zero or more")
	c.that(s.LongAnswerTokens >= 0, field+"long_answer_tokens", s.LongAnswerTokens, "zero or more")
	routings := []Routing{"", RoutingScore, RoutingRoundRobin, RoutingLeastReportedLoad, RoutingTwoChoices, RoutingEarliestFirstToken}
	c.that(slices.Contains(routings, s.Routing), field+"routing", fmt.Sprintf("%q", s.Routing), "score, round_robin, least_reported, two_choices, forecast")
	c.that(s.MinInstances >= 0, field+"least_instances", s.MinInstances, "zero or more")
	c.that(s.Kind == ServiceModel || !s.Managed, field+"managed", s.Managed, "managed only for model services")
	c.that(s.Kind == ServicePlain || len(s.Routes) == 0, field+"routes", "set", "routes only on plain services")
	methods := []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete}
	for _, route := range s.Routes {
		c.that(slices.Contains(methods, route.Method), field+"routes.method", fmt.Sprintf("%q", route.Method), "GET, POST, PUT, DELETE")
		c.that(strings.HasPrefix(route.Path, "/"), field+"routes.path", fmt.Sprintf("%q", route.Path), "a path that begins with /")
	}
}

func (c *checker) workspaces(workspaces []Workspace) {
	names := make([]string, 0, len(workspaces))
	for i := range workspaces {
		names = append(names, workspaces[i].Name)
		c.workspace(&workspaces[i])
	}
	c.names("workspaces", names)
}

func (c *checker) workspace(w *Workspace) {
	field := "workspaces." + w.Name + "."
	hash, err := hex.DecodeString(w.KeySHA256)
	c.that(err == nil && len(hash) == keyHashBytes, field+"key_sha256", fmt.Sprintf("%q", w.KeySHA256), "64 hexadecimal digits")
	c.that(w.Priority >= 0 && w.Priority <= maxPriority, field+"priority", w.Priority, "1 to 9, or 0 for 5")
	c.that(w.Share >= 0, field+"share", w.Share, "zero or more")
	c.that(w.RequestRate >= 0, field+"requests_per_second", w.RequestRate, "zero or more")
	c.that(w.TokenRate >= 0, field+"tokens_per_second", w.TokenRate, "zero or more")
	c.that(w.Concurrency >= 0, field+"concurrent_requests", w.Concurrency, "zero or more")
}

func (c *checker) prices(d *Declaration) {
	for _, price := range d.Prices {
		known := slices.ContainsFunc(d.DataCentres, func(p DataCentre) bool { return p.Name == price.DataCentre })
		c.that(known, "prices.data_centre", fmt.Sprintf("%q", price.DataCentre), "a declared data centre")
		c.that(price.ReclaimablePerHour >= 0, "prices.reclaimable_per_hour", price.ReclaimablePerHour, "zero or more")
		c.that(price.OnDemandPerHour >= 0, "prices.on_demand_per_hour", price.OnDemandPerHour, "zero or more")
	}
}
