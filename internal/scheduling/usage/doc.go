// Package usage learns per team and class how the observed resource use of jobs relates to their declared sizes.
package usage
