// Package revoke tests the revocation of keys in virtual time: followers of the store and of
// each other, with the reducers that admit requests, under faults of nodes and of the store.
package revoke
