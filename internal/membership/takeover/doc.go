// Package takeover decides when an entry may take over the ownership of scheduling and when an owner should keep it; it makes no calls.
package takeover
