// Package spokeengine speaks to model engines: it streams answers, resumes
// and cancels them, moves their KV cache, and reads their reports.
package spokeengine
