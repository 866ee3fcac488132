// Package admission decides which calls an entry serves: by queue, by key, and by how fresh its knowledge of the rules is.
package admission
