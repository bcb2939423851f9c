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
	// KindInvalid means that a declaration, an item or a row is malformed or not
	// consistent.
	KindInvalid Kind = "invalid"
	// KindGap means that a delta is based on another revision than the store's.
	KindGap Kind = "gap"
	// KindConflict means that another change was accepted first.
	KindConflict Kind = "conflict"
	// KindUnavailable means that the table service did not answer, or that the
	// configuration kept changing while it was read.
	KindUnavailable Kind = "unavailable"
	// KindOutcomeUnknown means that a change may or may not have been accepted.
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

// Parse decodes a declaration from YAML and validates it. It returns an error of
// kind KindInvalid that names the field, the value and the allowed values.
func Parse(text []byte) (Declaration, error) {
	declaration, err := Decode(text)
	if err != nil {
		return Declaration{}, err
	}
	if err := declaration.Validate(); err != nil {
		return Declaration{}, err
	}
	return declaration, nil
}

// Decode decodes a declaration from YAML without validating it. It returns an error of
// kind KindInvalid with the line if the text is malformed or has an unknown field.
func Decode(text []byte) (Declaration, error) {
	var declaration Declaration
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField())
	if err := decoder.Decode(&declaration); err != nil {
		return Declaration{}, spokeerror.Newf("parse declaration", KindInvalid, "%s", yaml.FormatError(err, false, false))
	}
	return declaration, nil
}

// Format encodes a declaration as YAML.
func Format(declaration Declaration) ([]byte, error) {
	text, err := yaml.Marshal(declaration)
	if err != nil {
		return nil, spokeerror.New("format declaration", KindInvalid, err)
	}
	return text, nil
}

// Validate returns an error of kind KindInvalid for the first invalid field.
func (d *Declaration) Validate() error {
	problems := d.Problems()
	if len(problems) == 0 {
		return nil
	}
	return spokeerror.Newf("check declaration", KindInvalid, "%s", problems[0])
}

// Problem is an invalid field of a declaration.
type Problem struct {
	field, text string
}

// Field returns the path of the field, with dots between its parts.
func (p Problem) Field() string { return p.field }

// Text returns the value of the field and what is allowed.
func (p Problem) Text() string { return p.text }

// String returns the field, its value and what is allowed.
func (p Problem) String() string { return p.field + " " + p.text }

// Problems returns all invalid fields, in the order of the format.
func (d *Declaration) Problems() []Problem {
	v := &validator{}
	v.expect(d.Version == formatVersion, "version", d.Version, "1")
	v.expect(len(d.DataCentres) > 0, "data_centres", "empty", "at least one data centre")
	v.expect(len(d.Services) > 0, "services", "empty", "at least one service")
	v.validateDataCentres(d.DataCentres)
	v.validateServices(d.Services)
	v.validateWorkspaces(d.Workspaces)
	v.validatePrices(d)
	v.validateCallerRoutes(d)
	v.validateLimits(d.Limits)
	return v.problems
}

// validator collects the problems found.
type validator struct {
	problems []Problem
}

func (v *validator) expect(ok bool, field string, value any, allowed string) {
	if !ok {
		v.problems = append(v.problems, Problem{field: field, text: fmt.Sprintf("is %v; allowed: %s", value, allowed)})
	}
}

func (v *validator) validateNames(field string, names []string) {
	seen := make([]string, 0, len(names))
	for _, name := range names {
		v.expect(namePattern.MatchString(name), field+".name", fmt.Sprintf("%q", name), "lower-case letters, digits, dots, dashes and underscores, at most 63")
		v.expect(!slices.Contains(seen, name), field+".name", fmt.Sprintf("%q twice", name), "each name once")
		seen = append(seen, name)
	}
}

func (v *validator) validateDataCentres(dataCentres []DataCentre) {
	names := make([]string, 0, len(dataCentres))
	for _, dataCentre := range dataCentres {
		names = append(names, dataCentre.Name)
		v.expect(dataCentre.Region != "", "data_centres."+dataCentre.Name+".region", "empty", "a region's name")
	}
	v.validateNames("data_centres", names)
}

func (v *validator) validateServices(services []Service) {
	names := make([]string, 0, len(services))
	for i := range services {
		names = append(names, services[i].Name)
		v.validateService(&services[i])
	}
	v.validateNames("services", names)
}

func (v *validator) validateService(s *Service) {
	field := "services." + s.Name + "."
	v.expect(s.Kind == ServiceModel || s.Kind == ServicePlain, field+"kind", fmt.Sprintf("%q", s.Kind), "model, plain")
	v.expect(s.FirstTokenTarget >= 0, field+"first_token_target_millis", s.FirstTokenTarget, "zero or more")
	v.expect(s.TokenGapTarget >= 0, field+"token_gap_target_millis", s.TokenGapTarget, "zero or more")
	v.expect(s.Timeout >= 0, field+"timeout_millis", s.Timeout, "zero or more")
	v.expect(s.LongAnswerTokens >= 0, field+"long_answer_tokens", s.LongAnswerTokens, "zero or more")
	routings := []Routing{"", RoutingScore, RoutingRoundRobin, RoutingLeastReportedLoad, RoutingTwoChoices, RoutingEarliestFirstToken}
	v.expect(slices.Contains(routings, s.Routing), field+"routing", fmt.Sprintf("%q", s.Routing), "score, round_robin, least_reported, two_choices, forecast")
	v.expect(s.MinInstances >= 0, field+"least_instances", s.MinInstances, "zero or more")
	v.expect(s.Kind == ServiceModel || !s.Managed, field+"managed", s.Managed, "managed only for model services")
	v.expect(s.Kind == ServicePlain || len(s.Routes) == 0, field+"routes", "set", "routes only on plain services")
	methods := []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete}
	for _, route := range s.Routes {
		v.expect(slices.Contains(methods, route.Method), field+"routes.method", fmt.Sprintf("%q", route.Method), "GET, POST, PUT, DELETE")
		v.expect(strings.HasPrefix(route.Path, "/"), field+"routes.path", fmt.Sprintf("%q", route.Path), "a path that begins with /")
	}
}

func (v *validator) validateWorkspaces(workspaces []Workspace) {
	names := make([]string, 0, len(workspaces))
	for i := range workspaces {
		names = append(names, workspaces[i].Name)
		v.validateWorkspace(&workspaces[i])
	}
	v.validateNames("workspaces", names)
}

func (v *validator) validateWorkspace(w *Workspace) {
	field := "workspaces." + w.Name + "."
	hash, err := hex.DecodeString(w.KeySHA256)
	v.expect(err == nil && len(hash) == keyHashBytes, field+"key_sha256", fmt.Sprintf("%q", w.KeySHA256), "64 hexadecimal digits")
	for _, key := range w.AdditionalKeysSHA256 {
		hash, err := hex.DecodeString(key)
		v.expect(err == nil && len(hash) == keyHashBytes, field+"more_keys_sha256", fmt.Sprintf("%q", key), "64 hexadecimal digits each")
	}
	v.expect(w.EngineRank >= 0, field+"rank", w.EngineRank, "zero or more")
	v.expect(w.Priority >= 0 && w.Priority <= maxPriority, field+"priority", w.Priority, "1 to 9, or 0 for 5")
	v.expect(w.Share >= 0, field+"share", w.Share, "zero or more")
	v.expect(w.RequestRate >= 0, field+"requests_per_second", w.RequestRate, "zero or more")
	v.expect(w.TokenRate >= 0, field+"tokens_per_second", w.TokenRate, "zero or more")
	v.expect(w.Concurrency >= 0, field+"concurrent_requests", w.Concurrency, "zero or more")
}

func (v *validator) validatePrices(d *Declaration) {
	for _, price := range d.Prices {
		declared := slices.ContainsFunc(d.DataCentres, func(dataCentre DataCentre) bool { return dataCentre.Name == price.DataCentre })
		v.expect(declared, "prices.data_centre", fmt.Sprintf("%q", price.DataCentre), "a declared data centre")
		v.expect(price.ReclaimablePerHour >= 0, "prices.reclaimable_per_hour", price.ReclaimablePerHour, "zero or more")
		v.expect(price.OnDemandPerHour >= 0, "prices.on_demand_per_hour", price.OnDemandPerHour, "zero or more")
	}
}

func (v *validator) validateCallerRoutes(d *Declaration) {
	kinds := []RouteKind{RouteIdempotent, RouteAtMostOnce, RouteStream}
	for i := range d.CallerRoutes {
		route := &d.CallerRoutes[i]
		field := "caller_routes." + route.Name + "."
		v.expect(route.Host != "", field+"host", "empty", "a host")
		v.expect(strings.HasPrefix(route.Path, "/") && strings.HasSuffix(route.Path, "/"), field+"path", fmt.Sprintf("%q", route.Path), "a path that begins and ends with /")
		v.expect(slices.Contains(kinds, route.Kind), field+"kind", fmt.Sprintf("%q", route.Kind), "idempotent, once, stream")
		v.expect(route.Timeout >= 0, field+"timeout_millis", route.Timeout, "zero or more")
		v.expect(route.LatencyTarget >= 0, field+"latency_target_millis", route.LatencyTarget, "zero or more")
		v.expect(route.EventGapTarget >= 0, field+"gap_target_millis", route.EventGapTarget, "zero or more")
		v.expect(route.Priority >= 0, field+"priority", route.Priority, "zero or more")
		v.expect(route.MaxAttempts >= 0, field+"max_attempts", route.MaxAttempts, "zero or more")
		v.expect(len(route.Targets) > 0, field+"targets", "empty", "at least one target")
		for _, target := range route.Targets {
			isDeclared := slices.ContainsFunc(d.Services, func(s Service) bool { return s.Name == target.Service })
			v.expect(isDeclared, field+"targets.service", fmt.Sprintf("%q", target.Service), "a declared service")
			v.expect(target.Weight >= 0, field+"targets.weight", target.Weight, "zero or more")
		}
	}
}

func (v *validator) validateLimits(limits *CallerLimits) {
	if limits == nil {
		return
	}
	v.expect(limits.HeaderBytes >= 0, "limits.header_bytes", limits.HeaderBytes, "zero or more")
	v.expect(limits.BodyBytes >= 0, "limits.body_bytes", limits.BodyBytes, "zero or more")
	v.expect(limits.HeaderTimeout >= 0, "limits.header_timeout_millis", limits.HeaderTimeout, "zero or more")
	v.expect(limits.IdleTimeout >= 0, "limits.idle_timeout_millis", limits.IdleTimeout, "zero or more")
}
