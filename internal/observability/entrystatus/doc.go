// Package entrystatus follows an entry's own log events and tells what the entry believes now.
package entrystatus
