// Package planpace spaces the owner's planning passes so that they leave most of its processor to calls and answers.
package planpace
