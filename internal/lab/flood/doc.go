// Package flood plays clients that do not keep to the protocol against one listener of a real process on loopback: heads and bodies
// without end, silence, answers that are never read, reconnects. It measures the memory and the sockets of the process meanwhile.
//
// The checks do not depend on the speed of the machine: the process lives, its memory and its sockets stay within the limits of its
// settings file, and one ordinary request is answered while the flood is connected. The limits in the settings are low, so that a
// few hundred connections are enough.
//
// Its callers are the tests of the package, and `dykering-lab flood`, which plays drawn floods with signals, restarts and
// configuration changes (Scenario). Package localsystem runs the processes.
package flood
