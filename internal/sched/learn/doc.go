// Package learn estimates how much load each upstream of a service handles well and how fast it is, from the upstream's
// load reports and from the times of its answers. All values are immutable, bounded in size and free of I/O.
package learn
