// Package operator describes the operators, who sign off bundles and call the operator API.
package operator
