package spokeroute

// minVersionServers is the number of servers below which a version may soon have none.
const minVersionServers = 2

// versionCandidates leaves out the servers that can't go on with a resumed stream.
func versionCandidates(candidates []Candidate, request Request) []Candidate {
	if !request.IsResumed {
		return candidates
	}
	return keepVersions(candidates, func(version string) bool { return version == request.SoftwareVersion })
}

// lastingCandidates leaves out the servers at which a new stream that may be resumed later
// should not begin, unless there are no others: those of another version than the
// preferred one, of a version that has one server only, and of an unknown one.
func lastingCandidates(usable []Candidate, request Request) []Candidate {
	if !request.IsResumable || request.IsResumed {
		return usable
	}
	if request.HasPreferredVersion {
		if preferred := keepVersions(usable, func(version string) bool { return version == request.PreferredVersion }); len(preferred) > 0 {
			return preferred
		}
	}
	counts := make(map[string]int)
	for _, c := range usable {
		counts[c.SoftwareVersion]++
	}
	for _, keepFunc := range []func(version string) bool{
		func(version string) bool { return version != "" && counts[version] >= minVersionServers },
		func(version string) bool { return version != "" },
	} {
		if lasting := keepVersions(usable, keepFunc); len(lasting) > 0 {
			return lasting
		}
	}
	return usable
}

func keepVersions(candidates []Candidate, keepFunc func(version string) bool) []Candidate {
	kept := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if keepFunc(c.SoftwareVersion) {
			kept = append(kept, c)
		}
	}
	return kept
}
