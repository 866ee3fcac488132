// Package admission decides which calls an entry serves, by queue, by key and by how recently the rules were confirmed to be current.
package admission
