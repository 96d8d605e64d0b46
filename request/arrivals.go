package request

// arrivals counts what has reached upstreams of one request, and may have, as upstreams
// that bound repeats count it: the first prompt that an engine accepts for nothing, every
// other prompt and every run for one, also those that are rejected. It says how many
// retries of the budget the next attempt needs.
//
// What goes wrong with one retry for each attempt: an attempt whose prompt is read a second
// time brings two arrivals, and one that is made again since nothing reached its decode
// engine brings one that nobody paid for. One would notice twice the repeats of what the
// budget allowed, when engines refuse what was reserved.
type arrivals struct {
	// counted is the arrivals that count, and paid the retries that were taken for them.
	counted, paid int
	// read says that an engine has accepted a prompt; last that the prompt in flight counts.
	read, last bool
}

// sent notes a call that starts.
func (a *arrivals) sent(s Step) {
	switch s {
	case StepPrefill:
		if a.last = a.read; a.last {
			a.counted++
		}
	case StepDecode, StepCall:
		a.counted++
	}
}

// unsent takes a call back that reached nobody.
func (a *arrivals) unsent(s Step) {
	if s == StepDecode || s == StepCall || s == StepPrefill && a.last {
		a.counted--
	}
}

// rejected notes that an upstream rejected a call.
func (a *arrivals) rejected(s Step) {
	if s == StepPrefill && !a.last {
		a.counted++
	}
}

// unknown notes that nobody knows whether an upstream took a call. Its prompt counts like one
// that was rejected: if it was accepted, a later one that is accepted counts in its place.
//
// What goes wrong where it counts for nothing: engines that are slow get two or three prompts of
// a request, none of which they accept, and then a run without one, and one of them nobody paid
// for.
func (a *arrivals) unknown(s Step) { a.rejected(s) }

// accepted notes that an engine has accepted a prompt.
func (a *arrivals) accepted(s Step) { a.read = a.read || s == StepPrefill }

// needs returns how many retries an attempt takes that runs the request once and, if
// prompt is set, has its prompt read before. What an earlier attempt has paid for and not
// used counts.
func (a *arrivals) needs(prompt bool) int {
	const first = 1
	next := 1
	if prompt && a.read {
		next++
	}
	return max(0, a.counted+next-first-a.paid)
}
