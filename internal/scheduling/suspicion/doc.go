// Package suspicion distinguishes a faulty VM, on which all runs fail, from jobs that fail on every VM.
package suspicion
