// Package standin provides test doubles for the external systems that
// fescuerill talks to: the platform's key-value store and host list, and
// targets that serve a search index over real text. They count the requests
// that they receive and can inject faults.
package standin
