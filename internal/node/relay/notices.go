package relay

import "github.com/gypsumrail/gypsumrail"

// Notices of the relay. The subject of one about a request is the identity of the request.
const (
	NoticeRequestRefused  gypsumrail.Notice = 2401 // a client's request was refused and has not run
	NoticeRequestFailed   gypsumrail.Notice = 2402 // a client's request got no answer of a target and may have run
	NoticeRequestResent   gypsumrail.Notice = 2403 // a request is sent again, to another upstream
	NoticeRequestRejected gypsumrail.Notice = 2404 // a request was rejected before it reached the reducer
	NoticeTargetFailed    gypsumrail.Notice = 2405 // a run on this node's target returned no valid answer
	NoticeReloaded        gypsumrail.Notice = 2406 // the settings were reloaded
	// The rate limit that a target stated is malformed.
	NoticeRateLimitUnreadable gypsumrail.Notice = 2407
	// An answer was given up, because it was too long for the memory of the node.
	NoticeAnswerGivenUp gypsumrail.Notice = 2408
	// The load that a target stated is malformed.
	NoticeLoadUnreadable gypsumrail.Notice = 2409
)
