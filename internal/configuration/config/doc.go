// Package config holds the configuration version in use on an entry, which only ever increases.
package config
