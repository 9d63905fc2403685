// Package roles runs a role of the system, `control` or `proxy`, as a whole process: it reads the settings file that
// DYKERING_NODE_FILE names, sets the limits of the Go runtime by it, and runs the role until SIGTERM or SIGINT.
//
// It is called by cmd/dykering, and by cmd/dykering-lab, which starts itself again as the processes of its demo. The roles
// themselves are packages controlplane and dataplane.
package roles
