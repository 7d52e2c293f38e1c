// Package caller asks the system on behalf of a customer.
//
// A Client learns from any host which hosts to use, keeps that answer for as
// long as it holds and connects there itself. A search that was refused
// without being run is tried again at another host after the wait that the
// refusal asks for; a non-idempotent request keeps its ticket over all tries.
package caller
