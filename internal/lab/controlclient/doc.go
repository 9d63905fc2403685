// Package controlclient calls the public addresses of control processes, as the platform's operator and the endpoints do: it stays
// with one process until a call fails there, and then goes on to the next.
package controlclient
