// Package settings reads the local YAML settings file of a process: its name, its availability zone, its addresses and its TLS files.
package settings
