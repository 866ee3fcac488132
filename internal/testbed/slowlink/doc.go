// Package slowlink connects clients and servers within the process by a link of limited rate, in simulated time.
package slowlink
