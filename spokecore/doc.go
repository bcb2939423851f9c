// Package spokecore serves requests without knowing their protocol: it limits
// them, chooses backend servers, repeats and resumes what may be repeated and
// resumed, and says truthfully what became of a request. A front hands it
// requests, and functions that send an attempt and deliver an answer.
package spokecore
