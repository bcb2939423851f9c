// Package spokeserve answers callers: it checks who asks, admits the request,
// chooses a backend server, and sees to it that the answer is whole, its own,
// and given at most once where that is asked for.
package spokeserve
