// Package job implements the state machine of one job; repeating a transition has no further effect.
package job
