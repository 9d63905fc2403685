// Package configsoak plays a whole system on loopback under faults and checks what becomes of the operators' changes of the
// configuration (rule CONFIG): control processes and proxies as real processes, and two operators, fake endpoints and clients in the
// calling process. It follows each change from its acknowledgment to the requests that it decides.
//
// The operators race for versions, send acknowledged changes again, send invalid ones, and read the configuration at any control
// process. The clients of each proxy keep their connections, send requests on routes that were added, moved or removed, and read
// nothing else of the system. Machines of the core are stopped, killed, frozen, emptied, and replaced at other addresses; proxies are
// stopped, killed, frozen, told of new settings, and away for some time. Faults come in storms that overlap, with calm times between
// them, in which the bounds hold. A seed determines all draws, but not the schedule of the operating system.
package configsoak
