// Package experiment runs the project's measurements against daemons and
// stand-ins that run as processes on loopback. Measure compares routing policies
// under load and faults; it writes its figures as JSON and a report in Markdown
// with charts, which ReadResults and Results.Render can make again from the JSON.
// Slopes varies one parameter of a fleet at a time, such as the number of daemons
// or the rate of requests, and fits a line to the cost; it writes JSON and a text
// table.
//
// Stand-ins are programs that simulate the engines, the plain services and the
// platform. A bed is a running fleet of daemons and stand-ins. A measurement consists of
// segments, which are single runs of the load generator. Each segment measures one arm,
// which is a routing policy with some of its parts possibly switched off. Segments with
// the same deployment, load, fault and arm are repeats of the same cell. The result of a
// segment is a sample, and a figure is a quantity that is computed from a sample. The
// project's own policy is the one called reserve.
//
// Requests are of the class urgent or draft. The load generator sends look-ups and
// submits, which are urgent requests to a plain service, short urgent completions, and
// long completions of the class draft, called drafts.
package experiment
