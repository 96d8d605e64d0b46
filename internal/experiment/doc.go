// Package experiment runs the project's measurements against real processes on
// loopback: Measure compares routing policies under load and faults, Slopes fits
// the cost of one more unit of each size. Both write raw JSON beside a report in
// Markdown, so that a report can be made again from the figures of its run.
package experiment
