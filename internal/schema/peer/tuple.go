// Package peer holds the messages between daemons. Those that carry the parts of
// queries are also coded as MessagePack arrays, without the names of their
// fields.
package peer

//msgp:tuple Ask Asks Cancel Part Tells Told Hit TargetState Holding
//msgp:ignore News Probe Check Pull Pulled PulledParts Release Released Targets

//msgp:limit arrays:8192 maps:64
