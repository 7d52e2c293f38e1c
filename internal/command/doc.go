// Package command is the command line of fescuerill.
package command
