// Package spokecore serves requests without knowing their protocol: it limits
// and admits them, chooses backend servers, repeats, resumes and moves what may
// be repeated, resumed and moved, and says truthfully what became of a request.
// A front hands it requests, and functions that send an attempt and deliver an
// answer.
package spokecore
