package telemetry

// LogEvent is one kind of line of a daemon: its message, when it is written, and the
// fields that tell what decided.
type LogEvent struct {
	Message string
	Level   string // the least severe level at which it is written
	When    string
	Fields  string // names, separated by commas; empty for none
}

// LogEvents are the lines of both edges that tell of a decision on a request or of a
// change of what a daemon believes. A test of package docgen finds each line in the
// sources and fails where one is missing here, or here and nowhere else.
func LogEvents() []LogEvent {
	return []LogEvent{
		{"started", "info", "the listeners are open and the subsystems run", "instance, callers"},
		{"draining", "info", "SIGTERM: not ready from now on", "grace_ms"},
		{"drain timed out", "warn", "callers' connections were still open at the end of the grace period", "error"},
		{"requests cancelled at the drain timeout", "warn", "requests were still in flight at the end of the grace period", "error"},
		{"stopped", "info", "the process ends", ""},
		{"settings reloaded", "info", "SIGHUP or a changed file", "changed"},
		{"settings reload failed: previous settings kept", "error", "the settings that were read again are invalid", "error"},
		{"subsystem failed", "error", "a subsystem ended and is started again", "service, error"},
		{"log lines left out", "warn", "lines were over their budget, or the writer was behind", "a count for each message"},

		{"configuration in force", "info", "a newer version was read", "version, routes, teams"},
		{"configuration rejected: the previous one stays in force", "error", "a newer version contradicts itself", "version, routes, teams, error"},
		{"view updated", "info", "configuration or registrations changed", "view, upstreams"},
		{"store unreachable", "warn", "a reading failed after one that did not", "feed, error"},
		{"store reachable again", "info", "a reading worked after one that failed", "feed"},
		{"record skipped: it cannot be decoded", "warn", "a record of the store cannot be decoded", "feed, error"},
		{"record skipped: it has no key", "warn", "a record of the store has no key", "feed"},
		{"store read by another instance", "info", "a reader was found, or another one", "reader"},
		{"store read by this instance", "info", "it is the reader, or those before it have no fresh word", ""},
		{"reader lost", "info", "the reader gave no fresh answer", "reader, error"},
		{"reader query unanswered", "debug", "a daemon did not say who reads for this data centre", "daemon, error"},
		{"exchange unanswered", "debug", "a reader, or one at which others look, did not answer another reader", "daemon, error"},
		{"reader listing failed", "debug", "the store did not say who may read for others", "error"},
		{"follower disconnected", "debug", "a connection of a daemon that is read for ended", "error"},

		{"orders lease changed", "info", "the right to order engines is gained or lost", "leads, fence"},
		{"order accepted", "info", "an engine takes an order", "upstream, to, share, fence"},
		{"order unanswered or refused", "warn", "an engine took no order, or did not say so", "upstream, to, share, fence, error"},
		{"order not sent: engine did not respond", "info", "its state could not be read", "upstream, to, share, fence, error"},
		{"order not sent: engine is busy or already has the role", "info", "its state shows another order", "upstream, to, share, fence, busy"},
		{"order not sent: engine restarted and has not registered again", "info", "its state tells of another life than its registration", "upstream, to, share, fence"},
		{"order not sent: lease lost", "info", "the lease ended while the state was read", "upstream, to, share, fence"},
		{"order not sent: engine has had orders and the lease is new", "info", "early orders go to fresh engines only", "upstream, to, share, fence"},
		{"membership not renewed", "debug", "the store did not answer a renewal", "error"},
		{"failed to leave the group: membership will expire", "info", "the store did not take the leaving at the end", "error"},

		{"decision", "info", "a step of a request: plan, reserve, prefill, decode, resume, call, cancel, finish or fail",
			"request, team, class, attempt, step, candidates, limited, upstream, prefill, reason, bundle, view_age_ms, predicted_first_token_ms"},
		{"retry", "info", "the retry budget of a model or service was asked for another attempt",
			"request, class, attempt, target, needs, held, allowed"},
		{"limit of the team reached", "info", "a request was refused: neither this daemon nor those that it asked have as many units of its team", "request, team, units, limit, asked_here, left_here, left_known, retry_after_ms"},
		{"units requested", "debug", "another daemon was asked to lend units of a team or of an upstream's limit", "team, upstream, needs, lender, lent, age_ms, left"},
		{"units not borrowed", "info", "another daemon did not answer whether it lends units; it is left alone for a second", "team, upstream, needs, lender, error"},
		{"upstream rate limit changed", "info", "an answer announces the first rate limit of its upstream, or another one than before; was and limit are requests a second, -1 for no limit; sent_here is the number of requests that this daemon sent there in the last four seconds; age_ms is how long ago the answer came", "upstream, life, was, limit, sent_here, age_ms"},
		{"upstream rate limit lifted", "info", "an answer announces no rate limit, and its request was sent after the last answer with one; was is the limit before in requests a second, and limit is -1", "upstream, life, was, limit, sent_here, age_ms"},
		{"upstream rate limit in force", "info", "every four seconds while an upstream has a rate limit; sent_here is the number of requests that this daemon sent there in that time", "upstream, limit, sent_here"},
		{"upstream rate limits reached", "info", "a request was refused: all upstreams left for it have rate limits, and neither this instance nor those that it asked for a loan may send them another request now; a lower rank is more urgent", "request, upstreams, rank, part, retry_after_ms"},
		{"invalid rate limit from upstream: previous limit kept", "warn", "an answer announces a rate limit that is not a number, negative or infinite", "upstream, limit"},
		{"retry borrowed", "info", "another daemon gave up retries to this one, whose budget has too little", "target, needs, lender"},
		{"retry not borrowed", "debug", "a daemon that was asked for retries did not answer", "target, needs, lender, error"},
		{"retry budget", "info", "the number of daemons that share the slack of retries changed, or the part of this one opened (settled); counted_ms is the age of its count",
			"daemons, part, settled, counted_ms"},
		{"run broke off", "info", "the connection of a run was lost before the end of its response, and its upstream was probed: sign is ended, lives or unsure; runs is how many runs of this daemon on the upstream were lost together",
			"request, digest, upstream, step, answering, ran_ms, sign, runs"},
		{"request quarantined", "info", "a request is refused or not retried: as many upstreams as ends crashed while running it, whichever daemon sent it", "request, digest, ends"},
		{"quarantine record received from another instance", "info", "another daemon detected that a request crashed one more upstream; ends is the number of crashes recorded for the request now, logged from the second on", "digest, upstream, answering, ends, refused"},
		{"read of the quarantine log failed", "debug", "the store did not answer a read of the quarantine records that the daemons share", "error"},
		{"append to the quarantine log failed, retrying", "warn", "the store did not accept the quarantine records of this daemon; the append is tried again", "records, error"},
		{"quarantine record dropped: too many records wait for the log", "warn", "the store has accepted no records for a long time; the oldest record that waits is dropped", "digest"},
		{"request completed: its crashes no longer count", "info", "a request that had crashed upstreams has completed; its crashes up to then no longer count", "digest"},
		{"upstream not probed: too many probes queued", "warn", "runs on more upstreams lost their connection than can be probed", "request, upstream"},
		{"verdict", "info", "a completion of which an engine has streamed anything ended; what was predicted stands beside what came of it",
			"request, class, upstream, predicted_first_token_ms, first_token_ms, predicted_answer, answer, expected_answer, predicted_step_us, step_us, reserved, held, samples, samples_age_ms"},
	}
}
