package gypsumrail

// Values keeps which version of each platform value is in force. It is not
// safe for concurrent use.
type Values interface {
	// Current returns the version in force; its revision is zero if there is none.
	Current(name ValueName) ValueVersion
	// Versions returns the versions in force, ordered by name.
	Versions() []ValueVersion
	// Wants tells whether an offered version should be fetched: it is newer, not
	// absurdly far ahead, and not being fetched already. The offer comes from a
	// peer or, if peer is false, from the platform.
	Wants(now Millis, offered ValueVersion, peer bool) bool
	// Adopt puts a fetched version in force if it is newer and reports whether it did.
	Adopt(now Millis, fetched ValueVersion, peer bool) bool
	// Refuse records that a fetched version is not valid, so that it is not fetched again.
	Refuse(now Millis, fetched ValueVersion)
	// Missing tells whether the time to wait for a first version of the records is over
	// and none was found.
	Missing(now Millis) bool
}
