// Package loadshed decides which submissions an entry refuses because they can't end in time, and when their callers should come back.
package loadshed
