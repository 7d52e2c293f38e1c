// Package command implements the command line of fescuerill.
package command
