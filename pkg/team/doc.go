// Package team describes a team: its keys, its weight in fair sharing and its concurrency limits.
package team
