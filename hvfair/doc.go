// Package hvfair holds the arithmetic of fair sharing and preemption: floors of queues,
// zones and sizes of jobs, turns of late work, and the choice of runs to stop. It knows
// neither hosts nor jobs and keeps no clock.
package hvfair
