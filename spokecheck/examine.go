package spokecheck

import (
	"fmt"
	"slices"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
)

// maxEngineTokensPerSecond is above what any engine processes of prompts and answers
// together: engines of the sizes served process 20 to 100 prompt tokens in a millisecond.
const maxEngineTokensPerSecond = 100_000

// Validate returns the invalid fields of a configuration, which is refused because of
// them.
func Validate(declaration *spokeconfig.Declaration) []Finding {
	var findings []Finding
	for _, problem := range declaration.Problems() {
		findings = append(findings, Finding{severity: SeverityError, rule: RuleInvalid, place: problem.Field(), text: problem.Text()})
	}
	return findings
}

// Examine returns the parts of a valid configuration that can't work as written, in the
// order of the format.
func Examine(declaration *spokeconfig.Declaration) []Finding {
	x := &examiner{declaration: declaration}
	for i := range declaration.Services {
		x.examineService(&declaration.Services[i])
	}
	x.examineWorkspaces()
	x.examineRoutes()
	x.examineLimits()
	return x.findings
}

type examiner struct {
	declaration *spokeconfig.Declaration
	findings    []Finding
}

func (x *examiner) add(severity Severity, rule Rule, place, format string, values ...any) {
	x.findings = append(x.findings, Finding{severity: severity, rule: rule, place: place, text: fmt.Sprintf(format, values...)})
}

// exceeds warns of a time that is beyond a limit. A limit of zero is none.
func (x *examiner) exceeds(place string, value, limit spokeclock.Millis, limitName, why string) {
	if limit > 0 && value > limit {
		x.add(SeverityWarning, RuleContradiction, place, "%d ms is more than %s of %d ms: %s", value, limitName, limit, why)
	}
}

func (x *examiner) examineService(s *spokeconfig.Service) {
	place := "services." + s.Name
	x.exceeds(place+".first_token_target_millis", s.FirstTokenTarget, s.Timeout, "the time limit", "the target can't be missed before the request ends")
	x.exceeds(place+".token_gap_target_millis", s.TokenGapTarget, s.Timeout, "the time limit", "the target can't be missed before the request ends")
	if s.MinInstances > 0 && !s.Managed {
		x.add(SeverityWarning, RuleNoEffect, place+".least_instances", "the service is not managed, so that no instances are started")
	}
	if len(x.declaration.CallerRoutes) > 0 && !x.hasRoute(s.Name) {
		x.add(SeverityWarning, RuleUnreachable, place, "no route leads to the service")
	}
	for i, route := range s.Routes {
		isSame := func(other spokeconfig.Route) bool { return other.Method == route.Method && other.Path == route.Path }
		if slices.ContainsFunc(s.Routes[:i], isSame) {
			x.add(SeverityError, RuleUnreachable, place+".routes", "%s %s is declared twice: only the first one counts", route.Method, route.Path)
		}
	}
	x.examineScaling(place+".scaling", s.Scaling)
}

// hasRoute reports whether some route sends requests to a service.
func (x *examiner) hasRoute(service string) bool {
	return slices.ContainsFunc(x.declaration.CallerRoutes, func(route spokeconfig.CallerRoute) bool {
		return slices.ContainsFunc(route.Targets, func(target spokeconfig.RouteTarget) bool {
			return target.Service == service && (target.Weight > 0 || totalWeight(route.Targets) == 0)
		})
	})
}

func totalWeight(targets []spokeconfig.RouteTarget) int {
	total := 0
	for _, target := range targets {
		total += target.Weight
	}
	return total
}

func (x *examiner) examineScaling(place string, scaling *spokeconfig.Scaling) {
	if scaling == nil {
		return
	}
	if scaling.MinInstances > scaling.MaxInstances {
		x.add(SeverityError, RuleContradiction, place+".least", "%d is more than the most of %d", scaling.MinInstances, scaling.MaxInstances)
	}
	if len(scaling.Prices) == 0 {
		x.add(SeverityError, RuleContradiction, place+".prices", "no data centre has a price, so that no instance is ever ordered")
	}
	if len(x.declaration.DataCentres) == 0 {
		return
	}
	for name := range scaling.Prices {
		isDeclared := slices.ContainsFunc(x.declaration.DataCentres, func(dataCentre spokeconfig.DataCentre) bool { return dataCentre.Name == name })
		if !isDeclared {
			x.add(SeverityWarning, RuleUnreachable, place+".prices", "%q is no declared data centre", name)
		}
	}
}

func (x *examiner) examineWorkspaces() {
	owners := make(map[string]string)
	for i := range x.declaration.Workspaces {
		w := &x.declaration.Workspaces[i]
		place := "workspaces." + w.Name
		keys := slices.DeleteFunc(append([]string{w.KeySHA256}, w.AdditionalKeysSHA256...), func(key string) bool { return key == "" })
		if len(keys) == 0 {
			x.add(SeverityWarning, RuleUnreachable, place, "the workspace has no key, so that no request can use it")
		}
		for _, key := range keys {
			if owner, isOwned := owners[key]; isOwned && owner != w.Name {
				x.add(SeverityError, RuleUnreachable, place+".key_sha256", "workspace %q has the same key", owner)
			}
			owners[key] = w.Name
		}
		x.examineAllotment(place+".allotment", w.Allotment)
	}
}

func (x *examiner) examineAllotment(place string, allotment *spokeconfig.Allotment) {
	if allotment == nil || allotment.Rate == 0 {
		return
	}
	if !allotment.CountsTokens {
		if allotment.DefaultTokens > 0 {
			x.add(SeverityWarning, RuleNoEffect, place+".plain_tokens", "the allotment counts requests, not tokens")
		}
		return
	}
	if allotment.DefaultTokens > max(allotment.Burst, allotment.Rate) {
		x.add(SeverityError, RuleContradiction, place+".plain_tokens", "one request of %g tokens is more than the rate of %g and the burst of %g", allotment.DefaultTokens, allotment.Rate, allotment.Burst)
	}
	if capacity := x.tokenCapacity(); capacity > 0 && allotment.Rate > capacity {
		x.add(SeverityWarning, RuleContradiction, place+".per_second", "%g tokens a second are more than the %g that all instances of all model services can process", allotment.Rate, capacity)
	}
}

// tokenCapacity returns an upper bound of the tokens that all model services can process
// in a second, or zero if the number of their instances is not bounded.
func (x *examiner) tokenCapacity() float64 {
	total := 0.0
	for i := range x.declaration.Services {
		s := &x.declaration.Services[i]
		if s.Kind != spokeconfig.ServiceModel {
			continue
		}
		if s.Scaling == nil {
			return 0
		}
		total += float64(s.Scaling.MaxInstances*len(s.Scaling.Prices)) * maxEngineTokensPerSecond
	}
	return total
}

func (x *examiner) examineRoutes() {
	first := make(map[string]string)
	for i := range x.declaration.CallerRoutes {
		route := &x.declaration.CallerRoutes[i]
		place := "caller_routes." + route.Name
		key := route.Host + route.Path
		if other, isTaken := first[key]; isTaken {
			x.add(SeverityError, RuleUnreachable, "caller_routes."+other, "route %q has the same host and path and takes all of its requests", route.Name)
		}
		first[key] = route.Name
		x.examineMatch(place, route)
		x.examineTimes(place, route)
		x.examineTargets(place+".targets", route)
	}
}

// examineMatch checks that some request can have the host and the path of a route. Hosts
// are compared in lower case and without their port.
func (x *examiner) examineMatch(place string, route *spokeconfig.CallerRoute) {
	if strings.ToLower(route.Host) != route.Host || strings.ContainsAny(route.Host, ":/ ") {
		x.add(SeverityError, RuleUnreachable, place+".host", "%q can't match: hosts are compared in lower case, without a port", route.Host)
	}
	if strings.ContainsAny(route.Path, "?#") {
		x.add(SeverityError, RuleUnreachable, place+".path", "%q can't match: a path has no query or fragment", route.Path)
	}
	if !route.Public && len(x.declaration.Workspaces) == 0 {
		x.add(SeverityWarning, RuleNoEffect, place+".open", "without workspaces no request needs a key, also on this route")
	}
}

func (x *examiner) examineTimes(place string, route *spokeconfig.CallerRoute) {
	x.exceeds(place+".latency_target_millis", route.LatencyTarget, route.Timeout, "the time limit", "the target can't be missed before the request ends")
	x.exceeds(place+".gap_target_millis", route.EventGapTarget, route.Timeout, "the time limit", "the target can't be missed before the request ends")
	isStream := route.Kind == spokeconfig.RouteStream
	if route.Resumable && !isStream {
		x.add(SeverityWarning, RuleNoEffect, place+".resumable", "only streams can be resumed")
	}
	if route.EventGapTarget > 0 && !isStream {
		x.add(SeverityWarning, RuleNoEffect, place+".gap_target_millis", "only streams have events")
	}
	isRepeatable := route.Kind == spokeconfig.RouteIdempotent || (isStream && route.Resumable)
	if route.MaxAttempts > 1 && !isRepeatable {
		x.add(SeverityWarning, RuleContradiction, place+".max_attempts", "%d attempts are allowed, but requests of the route run at most once", route.MaxAttempts)
	}
}

func (x *examiner) examineTargets(place string, route *spokeconfig.CallerRoute) {
	total := totalWeight(route.Targets)
	for i, target := range route.Targets {
		switch {
		case target.Weight == 0 && total > 0:
			x.add(SeverityWarning, RuleUnreachable, place, "service %q has weight 0 and gets no requests", target.Service)
		case total == 0 && i > 0:
			x.add(SeverityWarning, RuleUnreachable, place, "all weights are 0: service %q gets no requests", target.Service)
		}
		isSame := func(other spokeconfig.RouteTarget) bool { return other.Service == target.Service }
		if slices.ContainsFunc(route.Targets[:i], isSame) {
			x.add(SeverityWarning, RuleContradiction, place, "service %q is named twice", target.Service)
		}
	}
	for _, target := range route.Targets {
		at := slices.IndexFunc(x.declaration.Services, func(s spokeconfig.Service) bool { return s.Name == target.Service })
		if at < 0 {
			x.add(SeverityError, RuleUnreachable, place, "service %q is not declared", target.Service)
			continue
		}
		x.exceeds("caller_routes."+route.Name+".timeout_millis", route.Timeout, x.declaration.Services[at].Timeout, "the time limit of service "+target.Service, "the service's limit ends the request first")
	}
}

func (x *examiner) examineLimits() {
	limits := x.declaration.Limits
	if limits == nil {
		return
	}
	for i := range x.declaration.CallerRoutes {
		route := &x.declaration.CallerRoutes[i]
		x.exceeds("limits.header_timeout_millis", limits.HeaderTimeout, route.Timeout, "the time limit of route "+route.Name, "headers may take longer than the whole request")
	}
}
