package request

// arrivals counts the calls that reached, or may have reached, upstreams on behalf of one
// request. It counts in the same way as upstreams that limit repeated requests: the first prompt
// that an engine accepts is free; every other prompt and every decode call counts as one
// arrival, also when it is rejected. The number of retry permits that the next attempt needs
// follows from this count.
//
// One permit per attempt is not enough: an attempt that sends the prompt a second time causes
// two arrivals, and an attempt that is planned again because nothing reached its decode engine
// causes one arrival for which no permit was taken. When engines refuse decode calls for which
// they granted a reservation, upstreams would then see twice the repeats that the budget allows.
type arrivals struct {
	// arrivalCount is the number of arrivals so far, and permitsTaken the number of retry permits
	// that the request has taken.
	arrivalCount, permitsTaken int
	// promptAccepted is set once an engine has accepted a prompt. lastPromptCounted is set
	// when the latest prompt was counted as an arrival when it was sent.
	promptAccepted, lastPromptCounted bool
}

// sent records the start of a call.
func (a *arrivals) sent(s Step) {
	switch s {
	case StepPrefill:
		if a.lastPromptCounted = a.promptAccepted; a.lastPromptCounted {
			a.arrivalCount++
		}
	case StepDecode, StepCall:
		a.arrivalCount++
	}
}

// undoSent reverses sent for a call that did not reach its upstream.
func (a *arrivals) undoSent(s Step) {
	if s == StepDecode || s == StepCall || s == StepPrefill && a.lastPromptCounted {
		a.arrivalCount--
	}
}

// rejected records that an upstream rejected a call.
func (a *arrivals) rejected(s Step) {
	if s == StepPrefill && !a.lastPromptCounted {
		a.arrivalCount++
	}
}

// uncertain records that a call may or may not have reached its upstream. A prompt is then
// counted like a rejected one. If an engine did accept it, it was the free prompt; a later
// accepted prompt is then treated as the free one and not counted, so that the total is right.
//
// If such a prompt were not counted, a slow engine could receive two or three prompts of a
// request, none of them confirmed, followed by a decode call without a prompt, and one
// arrival would have no permit.
func (a *arrivals) uncertain(s Step) { a.rejected(s) }

// accepted records that an engine accepted a prompt.
func (a *arrivals) accepted(s Step) { a.promptAccepted = a.promptAccepted || s == StepPrefill }

// permitsNeeded returns how many more retry permits an attempt needs that makes one decode
// call or plain-service call and, if prompt is set, sends its prompt first. Permits that
// earlier attempts took and did not use are deducted.
func (a *arrivals) permitsNeeded(prompt bool) int {
	const arrivalsWithoutPermit = 1 // the first arrival of a request
	arrivalsOfAttempt := 1
	if prompt && a.promptAccepted {
		arrivalsOfAttempt++
	}
	return max(0, a.arrivalCount+arrivalsOfAttempt-arrivalsWithoutPermit-a.permitsTaken)
}
