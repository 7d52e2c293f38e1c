// Package target limits the work that is sent to a target.
//
// A Limiter counts the slots of one target and tracks how far the target has warmed up;
// a Queue holds the parts that wait for the target in order of their deadlines. Both
// are plain values without sockets or goroutines: each method takes the current time
// and the event. They are not safe for concurrent use.
//
// A target starts cold and becomes warm only by completed exchanges. Its own reports of
// load and health can lower its limit but never raise it. A slot stays in use until the exchange
// in it has certainly ended.
package target
