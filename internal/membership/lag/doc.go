// Package lag detects that a process's calls to its peers have become so slow that another process should take over its work.
package lag
