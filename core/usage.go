package core

import (
	"strconv"

	"github.com/gypsumrail/gypsumrail"
)

// accountsShown bounds the accounts in a status.
const accountsShown = 16

// levelOf returns the level of a new user request. It falls with the usage of the
// client account, and is that of the hash alone if the request has no account or the
// records in force do not require keys, because an account without a key is not proven.
func (n *Node) levelOf(s *senderCall) gypsumrail.Level {
	if !n.hasAccount(s.account) || s.origin != gypsumrail.FromCaller {
		return gypsumrail.LevelOf(s.importance, s.request)
	}
	s.use, s.useKnown = n.parts.Accounts.Arrived(n.now, s.account, n.parts.Directory.Len()), true
	return gypsumrail.LevelAt(s.importance, s.request, s.use)
}

// hasAccount reports whether the records in force hold the account and require keys.
func (n *Node) hasAccount(account string) bool {
	return account != "" && n.records != nil && n.records.KeysRequired && n.records.Accounts[account] != nil
}

// setAccounts passes the accounts of the records in force on to the count of requests.
func (n *Node) setAccounts() {
	if n.records.KeysRequired {
		n.parts.Accounts.SetAccounts(n.records.Accounts)
	} else {
		n.parts.Accounts.SetAccounts(nil)
	}
}

// levelDetail returns the fields of a log line that explain the level of a user request
// with an account, or "" for another one.
func levelDetail(s *senderCall) string {
	if !s.useKnown {
		return ""
	}
	return "Tenant=" + s.account + " Use=" + strconv.FormatFloat(s.use, 'f', 2, 64) + " Level=" + strconv.Itoa(int(s.level))
}
