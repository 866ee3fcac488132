// Package slotpb holds the generated messages of the division of slots within a zone.
package slotpb
