package logs

import (
	"slices"

	"github.com/charmbracelet/log"

	"github.com/gypsumrail/gypsumrail"
)

// Entry describes one log event.
type Entry struct {
	Number  gypsumrail.Notice
	Name    string // of the constant, without the prefix Notice
	Level   log.Level
	Message string
	When    string // the cause of the event
	Action  string // what an operator can do about it
}

// Table returns the entries of all log events, ordered by number. The caller owns
// the result.
func Table() []Entry { return slices.Clone(entries) }

// Lookup returns the entry of a number, or false if the number is not in the
// table. It is safe for concurrent use.
func Lookup(number gypsumrail.Notice) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(entries, number, func(e Entry, n gypsumrail.Notice) int { return int(e.Number - n) })
	if !ok {
		return Entry{}, false
	}
	return entries[i], true
}

// entries is ordered by number. The numbers from 2001 on are literals, because their
// constants are in packages shell and relay, which open sockets. The log must not
// depend on those.
var entries = []Entry{
	{gypsumrail.NoticeRevisionAdopted, "RevisionAdopted", log.InfoLevel, "revision adopted",
		"a newer valid revision of the value in `Subject` is in force; for the instance list, `Detail` names up to 8 instances that were added (`Added`), began to leave (`Leaving`) or are no longer listed (`Gone`)", "nothing"},
	{gypsumrail.NoticeRevisionIgnored, "RevisionIgnored", log.WarnLevel, "revision ignored",
		"a revision of the value in `Subject` is not newer than the one in force, or far ahead of it",
		"publish with a higher revision; if the platform serves old revisions, check the platform"},
	{gypsumrail.NoticeDefaultsInUse, "DefaultsInUse", log.WarnLevel, "no records found, using built-in defaults",
		"neither a peer nor the platform returned a revision of the records within 5 s of the start",
		"check that the platform and the seed peers can be reached; the first revision that is found replaces the defaults"},
	{gypsumrail.NoticePlatformRestored, "PlatformRestored", log.WarnLevel, "platform came back from an older copy",
		"the platform's store is in a later era, `Era` in `Detail`, in which it gives out revisions again; the configuration in force stays until a newer one is published, and instances that had left stay out of use",
		"check that what was published since the copy is published again"},
	{gypsumrail.NoticeRecordsStale, "RecordsStale", log.WarnLevel, "records may be out of date, refusing requests with keys",
		"under `--revoke`, the store has not confirmed the configuration in force for nearly that time, so a key may have been withdrawn without this node's knowledge; requests with keys get 503 until it is confirmed",
		"check the store and the way to it; requests of anonymous routes are served"},
	{gypsumrail.NoticeRecordsFresh, "RecordsFresh", log.InfoLevel, "records confirmed by the store again",
		"after event 1005, a read of the store showed no newer configuration than the one in force", "nothing"},
	{gypsumrail.NoticeReaderStarted, "ReaderStarted", log.InfoLevel, "watching the platform for this zone",
		"the instance became one of the three readers of its availability zone", "nothing"},
	{gypsumrail.NoticeReaderStopped, "ReaderStopped", log.InfoLevel, "no longer watching the platform",
		"other instances of the availability zone are its readers now", "nothing"},
	{gypsumrail.NoticeInstanceSuspect, "InstanceSuspect", log.WarnLevel, "instance does not answer control messages",
		"a control message to the instance in `Subject` got no answer; the instance is now suspect",
		"check the instance and the network to it; a healthy instance refutes the suspicion by itself"},
	{gypsumrail.NoticeTargetLeaving, "TargetLeaving", log.InfoLevel, "target is leaving",
		"the target of the instance in `Subject` stated in an answer that it is about to end; it gets no more calls from this node", "nothing"},
	{gypsumrail.NoticeBrokerChanged, "BrokerChanged", log.InfoLevel, "broker of the rate limits changed",
		"the node gets the tokens for the rate limits of client accounts from the instance in `Subject` now", "nothing; if it repeats, check the instances and the network between them"},
	{gypsumrail.NoticeThresholdRaised, "ThresholdRaised", log.WarnLevel, "shedding started",
		"the queue delay of the own target stays too long, so calls of low importance are refused",
		"check the target and the demand; add instances if this lasts"},
	{gypsumrail.NoticeThresholdZero, "ThresholdZero", log.InfoLevel, "shedding ended",
		"the threshold fell to zero and calls of every importance are admitted", "nothing"},
	{gypsumrail.NoticeRateLimited, "RateLimited", log.WarnLevel, "target states a rate limit",
		"the own target states in its answers that it takes only `RateLimit` calls a second, or states another rate than before",
		"check the target; other calls go to the other upstreams of the service, or are refused by importance"},
	{gypsumrail.NoticeRateUnlimited, "RateUnlimited", log.InfoLevel, "target states no rate limit any more",
		"the own target's answers no longer state a rate limit", "nothing"},
	{gypsumrail.NoticeTargetCrashed, "TargetCrashed", log.WarnLevel, "target ended while it ran calls",
		"the own target broke `Runs` calls in `Detail` at once, and nothing listens at its address; the requests are suspected until they complete elsewhere",
		"check why the target ended; if event 1901 follows, a request is the cause"},
	{gypsumrail.NoticeUpstreamSilent, "UpstreamSilent", log.WarnLevel, "connection to upstream is silent",
		"a connection to the instance in `Subject` carried no data in time and was closed",
		"check the network path if it repeats: firewalls and address translation drop idle connections"},
	{gypsumrail.NoticeUpstreamLost, "UpstreamLost", log.WarnLevel, "upstream is unreachable",
		"calls to the instance in `Subject` got no answer for longer than usual, and neither did a control message to its node; it gets no calls until its node answers",
		"check the instance and the network to it"},
	{gypsumrail.NoticeUpstreamBack, "UpstreamBack", log.InfoLevel, "upstream is reachable again",
		"the node of the instance in `Subject` answered again", "nothing"},
	{gypsumrail.NoticeZoneLeft, "ZoneLeft", log.InfoLevel, "calls leave the zone",
		"no target of the service in `Subject` is free in the own zone, and another zone has room: `Fraction` of its calls may go there. `Utilization` is that of the own zone, 1 when all slots are taken",
		"check why the zone is short of targets if it lasts; traffic between zones costs money"},
	{gypsumrail.NoticeZoneKept, "ZoneKept", log.InfoLevel, "calls stay in the zone",
		"no call of the service in `Subject` could leave the own zone for a second: it has room again, or no other zone has", "nothing"},
	{gypsumrail.NoticePaused, "Paused", log.WarnLevel, "process was paused",
		"more than 500 ms passed between two ticks, which are due every 10 ms",
		"check for a frozen or overcommitted host; the node rechecked all calls and timers"},
	{gypsumrail.NoticeDrainStarted, "DrainStarted", log.InfoLevel, "drain started",
		"the node received SIGTERM or SIGINT; it announces that it leaves and refuses new calls", "nothing"},
	{gypsumrail.NoticeDrainComplete, "DrainComplete", log.InfoLevel, "drain complete",
		"the last call in flight ended, or the longest drain time passed: 30 s, or under `gypsumrail sidecar` 0.5 s less than `--grace`", "nothing"},
	{gypsumrail.NoticeUnknownAnswer, "UnknownAnswer", log.WarnLevel, "answer for an unknown call dropped",
		"an answer arrived for a call or attempt that the node no longer tracks",
		"nothing if it is rare; report it as a fault if it repeats without resends, cancellations or pauses"},
	{gypsumrail.NoticeLedgerFull, "LedgerFull", log.ErrorLevel, "ledger is full",
		"the ledger holds its maximum number of keys, so keyed calls are refused as not run",
		"spread the load over more instances; keys expire after about 11 minutes"},
	{gypsumrail.NoticeRequestQuarantined, "RequestQuarantined", log.WarnLevel, "request quarantined, because it crashes targets",
		"the targets beside the nodes in `Targets` of `Detail` crashed while they ran requests with the fingerprint in `Subject`, `Crashes` in all, and none ran one to its end since; such requests are refused for `Left` milliseconds",
		"look for the request with the same `Fingerprint` in event 2405, and correct the target; `gypsumrail release` lifts the quarantine"},
	{gypsumrail.NoticeQuarantineEnded, "QuarantineEnded", log.InfoLevel, "quarantine ended",
		"the quarantine of the request in `Subject` ran out or was lifted, the request completed, or another one proved to be the cause; if it ran out, one more crash quarantines it again, for longer", "nothing"},
	{gypsumrail.NoticeRequestReleased, "RequestReleased", log.InfoLevel, "request released by an operator",
		"an operator told this node to clear the request in `Subject` of all crashes until now; the node tells its peers", "nothing"},
	{2001, "NodeStarted", log.InfoLevel, "node started", "the ports are open", "nothing"},
	{2002, "NodeStopped", log.InfoLevel, "node stopped", "the ports are closed", "nothing"},
	{2003, "LinesDropped", log.WarnLevel, "log events dropped",
		"events arrived faster than the log could be written", "look for the event that repeats, and check the reader of the log"},
	{2101, "RecordsRejected", log.ErrorLevel, "records rejected",
		"a revision of the records is invalid; the one in force stays",
		"correct the record that `Detail` names, check the set with `gypsumrail check` and publish again"},
	{2102, "InstancesRejected", log.ErrorLevel, "instance list rejected",
		"an instance list is invalid; the one in force stays", "correct the entry that `Detail` names and publish again"},
	{2103, "PlatformAway", log.WarnLevel, "platform cannot be read",
		"a read failed; under `gypsumrail node`, `Subject` names the value; logged once until a read succeeds",
		"check the platform; the node continues with what is in force"},
	{2104, "PlatformBack", log.InfoLevel, "platform can be read again", "a read succeeded after failed ones", "nothing"},
	{2105, "PullFailed", log.WarnLevel, "value could not be fetched from a peer",
		"the peer in `Subject` announced a revision but did not return it when asked",
		"nothing if it is rare; the node asks another peer or the platform"},
	{2106, "RecordsFault", log.ErrorLevel, "a part of the records is not usable",
		"a revision came into force of which one definition is malformed or unknown; `Detail` names it and what applies instead",
		"correct the definition and publish again, or update the node"},
	{2201, "ServerFault", log.WarnLevel, "server error on a port of the node",
		"`Detail` holds the error, such as a malformed request", "look for the client that `Detail` names"},
	{2202, "ForeignAnswer", log.ErrorLevel, "answer does not belong to its attempt",
		"a peer's answer has another attempt's identity or malformed headers; its connection was closed",
		"look for a proxy between the nodes that reorders or changes answers"},
	{2203, "AnswerMalformed", log.WarnLevel, "answer refused for its form",
		"an answer is not one in the protocol; `Subject` is the identity of the request, or the address that answered, `Hop` in `Detail` where it was read (`target`, `peer`, `control`, `store`), `From` the side that answered and `Fault` what is wrong: `StatusLine`, `Interims`, `FieldName`, `Reason`, `Head`, `Body`, `Truncated`, `Unframed`, `Identity`, `Proof` or `NodeHeader`. It counts as a broken connection; metric `gypsumrail_malformed_answers_total`",
		"check what the side in `From` sends"},
	{2301, "SecondSignal", log.WarnLevel, "second SIGINT, exiting at once",
		"a second SIGINT arrived during a drain; calls in flight were cut off", "nothing"},
	{2302, "SignalIgnored", log.InfoLevel, "further signal during a drain, which goes on",
		"a SIGTERM, or the first SIGINT, arrived during a drain; the drain still ends by the time set by the first signal", "nothing"},
	{2401, "RequestRefused", log.InfoLevel, "request refused, not run",
		"a client's request got 503 or 404; `Subject` is its identity, `Reason` the rule that refused it, `Detail` the state of the call and the revision in force; where the account decided the level of the request, also `Tenant`, the `Use` of its rate limit and the `Level`",
		"look for `ThresholdRaised` and `UpstreamSilent` at the same time; under overload this is intended"},
	{2402, "RequestFailed", log.WarnLevel, "request failed",
		"a client's request got 502 or 504, because its deadline passed or the answer to an attempt was lost",
		"look for `TargetFailed` with the same `Subject` at the other nodes"},
	{2403, "RequestResent", log.InfoLevel, "request sent again",
		"an attempt ended without an answer and another upstream was chosen", "nothing if it is rare"},
	{2404, "RequestRejected", log.InfoLevel, "request rejected",
		"a request is malformed, exceeds a limit, has no route or no valid key, or the node has no records yet",
		"compare `Revision` in `Detail` with the revision in force on other nodes; correct the client"},
	{2405, "TargetFailed", log.WarnLevel, "target gave no usable answer",
		"the own target refused the request in `Subject`, ended its answer early, could not be reached, or ended while it ran the request (reason `Crashed`)",
		"check the target; `Outcome` in `Detail` tells whether the request may have run, `Fingerprint` is equal for requests with the same caller, path and body"},
	{2406, "Reloaded", log.InfoLevel, "reload requested", "the process received SIGHUP; `Detail` is `Changed=none`, because all settings are flags", "nothing"},
	{2407, "RateLimitUnreadable", log.WarnLevel, "stated rate limit is malformed",
		"the rate limit in the own target's answer to the request in `Subject` is not a decimal number of at least 0; the one stated before still applies",
		"correct the target"},
	{2408, "AnswerGivenUp", log.WarnLevel, "answer given up, too long for the memory of the node",
		"the answer of `Target` to the request in `Subject` was abandoned after `Bytes` bytes and `Took` milliseconds, because it exceeded 16 MiB, or was the longest unfinished one of the target that held most when all answers (`Reading` and `Ready`) reached `Bound`; its caller gets 502",
		"check what the target sends; if the answers are honest, raise `--memory` on a larger machine"},
	{2409, "LoadUnreadable", log.WarnLevel, "stated load is malformed",
		"the load in the own target's answer to the request in `Subject` is not four plausible figures (running, waiting, slots, slowdown); it counts as not stated. Logged at most once a minute",
		"correct the target"},
}
