// Package workpb holds the generated messages and stored rows of multi-step jobs and of the entries that schedule them.
package workpb
