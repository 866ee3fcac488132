// Package orderedpace tracks the pace that was ordered for one run and whether the run certainly has it.
package orderedpace
