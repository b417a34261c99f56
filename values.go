package gypsumrail

// Values records which version of each published value is in force. It is not
// safe for concurrent use.
type Values interface {
	// Current returns the version in force; its revision is zero if there is none.
	Current(name ValueName) ValueVersion
	// Versions returns the versions in force, ordered by name.
	Versions() []ValueVersion
	// Wants reports whether to fetch an offered version. It must be newer, not too far
	// ahead, and not being fetched already. The offer comes from a peer or, if peer
	// is false, from the platform.
	Wants(now Millis, offered ValueVersion, peer bool) bool
	// Adopt puts a fetched version in force if it is newer, and reports whether it
	// did so.
	Adopt(now Millis, fetched ValueVersion, peer bool) bool
	// Refuse records that a fetched version is not valid, so that it is not fetched again.
	Refuse(now Millis, fetched ValueVersion)
	// Missing reports whether the time to wait for a first version of the records is
	// over and none was found.
	Missing(now Millis) bool
}
