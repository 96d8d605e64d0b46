// Package experiment runs the project's measurements against daemons and
// stand-ins that run as processes on loopback. Measure compares routing policies
// under load and faults; it writes its figures as JSON and a report in Markdown
// with charts, which ReadResults and Results.Render can make again from the JSON.
// Slopes varies one parameter of a fleet at a time, such as the number of daemons
// or the rate of requests, and fits a line to the cost; it writes JSON and a text
// table.
package experiment
