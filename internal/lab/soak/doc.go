// Package soak plays real control processes on loopback under signals, restarts, lost disks and overlapping changes of the
// configuration, while clients of the coordination service and two operators record what they see. Package history checks the
// record by the platform's rules.
//
// A seed determines what is drawn: which process meets which fault for how long, and what the clients ask for. What comes of it
// depends on the machine's timing. As many processes are lost at once as machine_failures allows, each for catch_up_s longer
// than it is away.
package soak
