// Package service describes a service: who may call it, which pool serves it and the limits on its requests.
package service
