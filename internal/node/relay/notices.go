package relay

import "github.com/gypsumrail/gypsumrail"

// Notices of the relay. Those about a request have its identity as subject.
const (
	NoticeRequestRefused  gypsumrail.Notice = 2401 // a client's request was refused as not run
	NoticeRequestFailed   gypsumrail.Notice = 2402 // a client's request ended without an answer of a target
	NoticeRequestResent   gypsumrail.Notice = 2403 // a request is sent to another upstream
	NoticeRequestRejected gypsumrail.Notice = 2404 // a request did not reach the reducer
	NoticeTargetFailed    gypsumrail.Notice = 2405 // a run on the own target gave no usable answer
	NoticeReloaded        gypsumrail.Notice = 2406 // the settings were read again
)
