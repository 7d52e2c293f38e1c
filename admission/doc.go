// Package admission decides how many queries a host has under way at once.
package admission
