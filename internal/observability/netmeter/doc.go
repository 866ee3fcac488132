// Package netmeter counts the bytes received on a listener's connections.
package netmeter
