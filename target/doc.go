// Package target decides what a target may be given.
//
// A Gate counts the slots of one target and knows how far it has warmed up; a
// Queue holds the parts that wait for it in order of their deadlines. Both are
// plain values without sockets or goroutines: each method takes the present
// time and the event. They are not safe for use by several goroutines.
//
// A target is cold until it has proved itself by completed work. What it says
// of its load and health may lower what it is given, never raise it. A slot
// stays taken until the exchange in it has surely ended.
package target
