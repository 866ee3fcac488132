// Package sample limits how often frequent events are logged.
package sample
