// Package standin holds small stand-ins for what fescuerill meets outside
// itself: the platform's store and host list, and targets that serve an index
// over real text. They count what they are given and inject faults.
package standin
