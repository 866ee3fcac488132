// Package logsample limits how often frequent events are logged.
package logsample
