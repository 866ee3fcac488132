// Package caller serves the HTTP requests of callers: it reads a request completely, authenticates the caller, and writes the complete answer or a refusal with a code.
package caller
