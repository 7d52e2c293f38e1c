// Package peer contains the messages between daemons. Messages about parts of
// queries are also encoded as MessagePack arrays, without field names.
package peer

//msgp:tuple Ask Asks Cancel Part Tells Told Hit TargetState Holding
//msgp:ignore News Probe Check Pull Pulled PulledParts Release Released Targets

//msgp:limit arrays:8192 maps:64
