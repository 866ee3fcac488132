// Package yamlpos finds the lines of settings in YAML files and of the decoder's errors.
package yamlpos
