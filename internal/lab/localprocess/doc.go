// Package localprocess starts processes of the system on addresses of the loopback network, as the platform does: with a
// settings file each, and a data directory for control processes. A process may be stopped, killed, frozen and started again,
// with another program or without its data.
package localprocess
