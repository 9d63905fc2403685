// Package roles runs a role of the system, `control` or `proxy`, as a process. It reads the settings file that
// DYKERING_NODE_FILE names, sets the limits of the Go runtime accordingly, and runs the role until SIGTERM or SIGINT.
//
// Its callers are cmd/dykering and cmd/dykering-lab, which starts copies of itself as the processes of its demo. Packages
// controlplane and dataplane implement the roles.
package roles
