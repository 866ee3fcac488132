// Package key describes the API keys of teams, of which only hashes are stored.
package key
