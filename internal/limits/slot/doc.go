// Package slot divides the slots of a zone's endpoints among the zone's entries according to their demand.
package slot
