// Package transferwatch decides when an owner of scheduling hands over to a stronger entry that asks for the ownership; it makes no calls.
package transferwatch
