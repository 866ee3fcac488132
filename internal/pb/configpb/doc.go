// Package configpb holds the generated messages and the DRPC service by which entries agree on membership and configuration.
package configpb
