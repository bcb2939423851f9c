// Package spokecore serves requests independently of their protocol. It applies
// limits and admission control, chooses backend servers, retries, resumes and
// moves requests where their route allows it, and tells the caller whether a
// refused request may have run. The front, which implements the protocol, passes
// in requests together with callbacks that send an attempt to a backend server
// and write the answer to the caller.
package spokecore
