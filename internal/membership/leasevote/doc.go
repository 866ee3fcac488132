// Package leasevote lets a registered entry vouch to lease holders that their configuration version is the newest one that it knows.
package leasevote
