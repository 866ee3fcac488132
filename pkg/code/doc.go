// Package code defines the numbered result codes that fulmarloft reports in answers, refusals and log lines.
package code
