// Package hvcrash estimates which tasks crash the hosts that start them.
//
// When a host crashes, everything that ran there is a suspect, and most of it was
// merely there; hosts also crash for reasons of their own. The package weighs three
// things: how long each run had been on the host, as a task that crashes hosts does
// so soon after its start; what is believed of each task already; and how often hosts
// crash without a task at fault.
package hvcrash
