package telemetry

// LogEvent describes a log message of a daemon.
type LogEvent struct {
	Message string
	Level   string // the level at which the message is logged
	When    string // the event that causes the message, and the meaning of its fields
	Fields  string // names of the fields, separated by commas; empty for none
}

// LogEvents returns the log messages about decisions on requests and about changes of a
// daemon's state, for the generated documentation. A test of package docgen compares them
// with the messages in the source code; it fails if one is missing here or is no longer
// logged.
func LogEvents() []LogEvent {
	return []LogEvent{
		{"started", "info", "the listeners are open and the subsystems are running", "instance, callers"},
		{"draining", "info", "SIGTERM was received: the daemon reports itself as not ready from now on", "grace_ms"},
		{"drain timed out", "warn", "callers' connections were still open at the end of the grace period", "error"},
		{"requests cancelled at the drain timeout", "warn", "requests were still in flight at the end of the grace period", "error"},
		{"carried connections cut at the drain timeout", "warn", "connections to upstreams that this daemon carries for others were still open at the end of the grace period", "error"},
		{"stopped", "info", "the daemon has stopped and its process exits", ""},
		{"settings reloaded", "info", "the settings were read again after SIGHUP or a change of the file", "changed"},
		{"settings reload failed: previous settings kept", "error", "the settings that were read again are invalid", "error"},
		{"subsystem failed", "error", "a subsystem ended with an error and is restarted", "service, error"},
		{"log lines left out", "warn", "log lines were dropped, because a message was over its limit per second or the queue was full; the fields are the messages with their numbers of dropped lines", "a count for each message"},

		{"configuration in force", "info", "a newer version was read", "version, routes, teams"},
		{"configuration rejected: the previous one stays in force", "error", "a newer version was read and is not valid", "version, routes, teams, error"},
		{"view updated", "info", "the configuration or the registrations of upstreams changed; upstreams is the number of those by which this daemon routes", "view, upstreams, registered"},
		{"registrations missing", "info", "registrations of upstreams have disappeared from the store: withdrawn counts the upstreams that are no longer used, expired those that stay in use until they have had time to register again; after_outage tells whether the store was unreachable before the read", "withdrawn, expired, after_outage"},
		{"upstream unreachable", "warn", "a connection to an upstream could not be opened after one that could: reason is refused, reset, timeout or other; failing counts the addresses to which the last connection failed, out of the known ones, which were used recently; heard_ms_ago is the time since the upstream last sent anything on an open connection, -1 if it never has", "address, reason, failing, known, heard_ms_ago, error"},
		{"upstream reachable again", "info", "a connection to an upstream was opened after one that could not be", "address, failing, known, after_ms"},
		{"carriers not named", "debug", "a daemon did not answer which daemons may carry connections to upstreams", "daemon, error"},
		{"carrier unanswered", "debug", "a daemon that was asked to carry a connection to an upstream did not answer", "daemon, upstream, error"},
		{"carried connection broke off", "debug", "a connection that this daemon carried for another one ended with an error; the other daemon mostly has ended its request", "error"},
		{"store unreachable", "warn", "a read of the store failed after a successful one", "feed, error"},
		{"store reachable again", "info", "a read of the store succeeded after a failed one", "feed"},
		{"record skipped: it cannot be decoded", "warn", "a record of the store cannot be decoded; it is ignored", "feed, error"},
		{"record skipped: it has no key", "warn", "a record of the store has no key; it is ignored", "feed"},
		{"store read by another instance", "info", "this daemon gets the content of the store from another one, the reader, from now on, or from another reader than before", "reader"},
		{"store read by this instance", "info", "this daemon reads the store itself from now on; reason is reader, followers (others read through it), successor (the readers before it in the order of succession return no fresh data), probe (no daemon returns fresh data), small-fleet or no-reader; data_age_ms is the time since the store returned the newest data that this daemon has, -1 if it has none", "reason, data_age_ms"},
		{"reader lost", "info", "the reader returned no fresh data", "reader, error"},
		{"reader query unanswered", "debug", "a daemon did not answer which daemons read the store for this data centre", "daemon, error"},
		{"exchange unanswered", "debug", "a reader, or a seed that daemons ask for their reader, did not answer the periodic call of this daemon", "daemon, error"},
		{"reader listing failed", "debug", "the store did not answer which daemons may read it for others", "error"},
		{"follower disconnected", "debug", "the connection of a follower ended: a daemon for which this one reads the store", "error"},

		{"orders lease changed", "info", "this daemon gained or lost the lease that allows it to send role orders to engines", "leads, fence"},
		{"order accepted", "info", "an engine accepted a role order", "upstream, to, share, fence"},
		{"order unanswered or refused", "warn", "an engine refused a role order, or its answer was lost", "upstream, to, share, fence, error"},
		{"order not sent: engine did not respond", "info", "the state of the engine could not be read", "upstream, to, share, fence, error"},
		{"order not sent: engine is busy or already has the role", "info", "the state of the engine shows that it changes its role already, or has the role", "upstream, to, share, fence, busy"},
		{"order not sent: engine restarted and has not registered again", "info", "the state of the engine shows another incarnation than its registration", "upstream, to, share, fence"},
		{"order not sent: lease lost", "info", "the lease ended while the state of the engine was read", "upstream, to, share, fence"},
		{"order not sent: engine has had orders and the lease is new", "info", "a lease that rests on the bootstrap rule alone allows orders only to engines that have had none", "upstream, to, share, fence"},
		{"membership not renewed", "debug", "the store did not answer a renewal of the membership in the group of daemons", "error"},
		{"failed to leave the group: membership will expire", "info", "at shutdown the store did not accept the request to leave the group", "error"},

		{"stall", "info", "the engine of a stream has been silent: silent_ms is how long, from the number of events that the caller had before, and reason what becomes of its call; the next attempt of the request is what replaces it",
			"request, class, attempt, upstream, version, from, silent_ms, reason, bundle"},
		{"silent call", "info", "the replica of a plain service that has a call has been silent: silent_ms is how long, replacement the replica that has the call too or has answered in its place, and reason replacement-sent, answered-elsewhere, call-ended, or why no other replica has it, as no-retry-permit or the kind of an error",
			"request, class, attempt, upstream, silent_ms, replacement, reason"},
		{"request met a fault of this daemon", "error", "a panic while a request was served; the caller got the error internal, or a visibly broken stream", "request, error"},
		{"decision", "info", "a step of a request: plan, reserve, prefill, decode, resume, call, cancel, finish or fail; version is the software version of the upstream, from the number of events that the caller had before, in earlier tries too, and resumes the id of the try that began the stream, as the caller names it",
			"request, team, class, attempt, step, candidates, limited, upstream, prefill, version, from, resumes, reason, bundle, view_age_ms, predicted_first_token_ms"},
		{"stream taken up", "info", "a caller takes up a stream; outcome tells what is known of the software version at which it began: recorded and sole-version let it go on at version, all others refuse it; source names the daemon that had the record (own for this one, log for what this one has or read from the platform's log), began_at, upstream and age_ms are those of the record if there is one; a record that restarted is that of an upstream that may have started again before the stream began",
			"request, resumes, last_event, outcome, service, version, source, took_ms, upstream, age_ms, began_at"},
		{"origin of a stream not confirmed", "debug", "the upstream that began a stream did not answer whether it has started again since; the record stands", "upstream, error"},
		{"origins not shared", "debug", "a daemon did not take the records of where streams began", "daemon, records, error"},
		{"origin not asked for", "debug", "a daemon that was asked where a stream began did not answer", "daemon, error"},
		{"origin records not shared: too many wait", "warn", "streams begin faster than other daemons take their records; those that waited are dropped and stay at this daemon only", "records"},
		{"origin records dropped: too many wait for the log", "warn", "the store has accepted no records for a long time; the oldest that wait are dropped", "records"},
		{"origin records lost at the end of the daemon", "warn", "the store did not accept the last records of where streams began before this daemon ended; other daemons may have them", "records, error"},
		{"append to the log of origins failed, retrying", "warn", "the store did not accept records of where streams began; the append is tried again", "records, error"},
		{"read of the log of origins failed", "debug", "the store did not answer a read of where streams began", "error"},
		{"retry", "info", "another attempt was requested from the retry budget of a model or service",
			"request, class, attempt, target, needs, keep, held, allowed"},
		{"limit of the team reached", "info", "a request was refused: neither this daemon nor those that it asked for a loan have enough units of the team's quota", "request, team, units, limit, asked_here, left_here, left_known, retry_after_ms"},
		{"units requested", "debug", "another daemon was asked to lend units of a team or of an upstream's limit", "team, upstream, needs, lender, lent, age_ms, left"},
		{"units not borrowed", "info", "another daemon did not answer a request for a loan of units; it is not asked again for a second", "team, upstream, needs, lender, error"},
		{"upstream rate limit changed", "info", "an answer announces the first rate limit of its upstream, or another one than before; was and limit are requests a second, -1 for no limit; sent_here is the number of requests that this daemon sent there in the last four seconds; age_ms is how long ago the answer came", "upstream, life, was, limit, sent_here, age_ms"},
		{"upstream rate limit lifted", "info", "an answer announces no rate limit, and its request was sent after the last answer with one; was is the limit before in requests a second, and limit is -1", "upstream, life, was, limit, sent_here, age_ms"},
		{"upstream rate limit in force", "info", "every four seconds while an upstream has a rate limit; sent_here is the number of requests that this daemon sent there in that time", "upstream, limit, sent_here"},
		{"upstream rate limits reached", "info", "a request was refused: all upstreams left for it have rate limits, and neither this instance nor those that it asked for a loan may send them another request now; a lower rank is more urgent", "request, upstreams, rank, part, retry_after_ms"},
		{"invalid rate limit from upstream: previous limit kept", "warn", "an answer announces a rate limit that is not a number, negative or infinite", "upstream, limit"},
		{"upstream states that it leaves", "info", "an answer says that its upstream leaves; this daemon sends it no new work from then on, whatever its registration says", "upstream, life"},
		{"upstream asks for rest", "info", "an answer with status 503 asks for a time without requests (Retry-After); this daemon sends the upstream none until then", "upstream, life, asked_ms, until"},
		{"invalid statement of availability from upstream: ignored", "warn", "an answer says with a value that cannot be parsed that its upstream leaves or wants no requests for a time", "upstream, value"},
		{"retry borrowed", "info", "another daemon lent retries to this one, whose budget was exhausted", "target, needs, lender"},
		{"retry not borrowed", "debug", "a daemon that was asked for retries did not answer", "target, needs, lender, error"},
		{"retry budget", "info", "the number of daemons that share the slack of the retry budget changed, or the share of this one became available (settled); counted_ms is the time since the daemons were first counted",
			"daemons, part, settled, counted_ms"},
		{"caller's connection closed unread: too many are open", "warn", "as many connections of callers are open as the settings allow, and none of them is idle; the caller can ask another daemon", "open"},
		{"run broke off", "info", "the connection of a run was lost before the end of its response, and its upstream was probed: sign is ended, lives or unsure; runs is how many runs of this daemon on the upstream were lost together; parts are the ids of the parts of its prompt that other requests may share",
			"request, digest, parts, upstream, step, answering, ran_ms, sign, runs"},
		{"request quarantined", "info", "a request is refused or not retried: as many upstreams as ends crashed while running it, or requests with the part of its prompt that digest and part name, whichever daemon sent them", "request, digest, part, ends"},
		{"prompt part quarantined", "warn", "requests with a part of a prompt are refused: upstreams (ends of them) crashed while running requests with it, the first one age_ms ago, and none has completed since. Where with names other parts, only requests that have all of them are refused, as it is not known yet which one is the cause", "digest, part, with, ends, upstreams, age_ms"},
		{"prompt part released", "info", "requests with a part of a prompt are accepted again: a request with it has completed, it was lifted, or the crashes are attributed to another one", "digest, part"},
		{"quarantine record received from another instance", "info", "another daemon detected that a request crashed one more upstream; ends is the number of crashes recorded for the request now, logged from the second on", "digest, part, upstream, answering, ends, refused"},
		{"read of the quarantine log failed", "debug", "the store did not answer a read of the quarantine records that the daemons share", "error"},
		{"append to the quarantine log failed, retrying", "warn", "the store did not accept the quarantine records of this daemon; the append is tried again", "records, error"},
		{"quarantine record dropped: too many records wait for the log", "warn", "the store has accepted no records for a long time; the oldest record that waits is dropped", "digest"},
		{"request completed: its crashes no longer count", "info", "a request that had crashed upstreams has completed; its crashes up to then no longer count; part is set where that is so for a part of prompts", "digest, part"},
		{"upstream not probed: too many probes queued", "warn", "runs on more upstreams lost their connection than can be probed", "request, upstream"},
		{"verdict", "info", "a completion ended of which an engine had streamed at least one chunk; the fields hold the predicted and the measured values",
			"request, class, upstream, predicted_first_token_ms, first_token_ms, predicted_answer, answer, expected_answer, predicted_step_us, step_us, reserved, held, samples, samples_age_ms"},
	}
}
