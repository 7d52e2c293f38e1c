// Package peer contains the messages between daemons. Messages about parts of
// queries are also encoded as MessagePack arrays, without field names.
package peer

//msgp:tuple QueryParts PartRequests Cancel Part PartReplies PartReply Hit TargetState Holding
//msgp:ignore HostUpdate Probe IndirectProbe PullRequest PullReply PullReplyParts Release ReleasedTarget TargetStateRequest

//msgp:limit arrays:8192 maps:64
