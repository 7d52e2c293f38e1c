// Package relay contains the messages by which a host sends parts of a search through a
// host of another data centre. They are encoded as MessagePack arrays, without field
// names.
package relay

//msgp:tuple Request Results AnsweredPart PartResult TargetStatement Cancel
//msgp:ignore Definitions

//msgp:limit arrays:8192 maps:1024
