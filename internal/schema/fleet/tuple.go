// Package fleet contains the messages between hosts about the hosts themselves and the items
// of the store. Datagrams are encoded as MessagePack arrays, without field names; the other
// messages as JSON.
package fleet

//msgp:tuple Message HostUpdate
//msgp:ignore Definitions HostRecord StoreItem UpdateRequest UpdateReply

//msgp:limit arrays:1024 maps:1
