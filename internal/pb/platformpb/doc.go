// Package platformpb holds the generated messages of the platform's services.
package platformpb
