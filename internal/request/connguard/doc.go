// Package connguard bounds the connections of a listener and the bytes of the requests that they hold at once, so that clients that send slowly, or never finish, can't exhaust the memory and descriptors of the process.
package connguard
