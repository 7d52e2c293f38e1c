// Package traffic counts the bytes that a host sends and receives, by kind of message and
// by whether they cross data centres.
package traffic
