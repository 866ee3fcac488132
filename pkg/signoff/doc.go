// Package signoff signs and verifies operators' approvals of a bundle, which are signatures of the bundle's hash.
package signoff
