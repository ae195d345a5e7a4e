// Package fdlimit keeps a process below its limit on open file descriptors. It
// divides the limit among the purposes of the process, so that many workers can't
// take the descriptors that its storage needs, and limits the connections of
// clients and listeners.
package fdlimit

// Budget is the number of descriptors that each purpose of a control process may
// use.
type Budget struct {
	// Storage is for the files of the store, listeners and the runtime.
	Storage int
	// Peers is for the connections to and from other processes of the system, and Metrics,
	// a part of it, for those that collect metrics.
	Peers   int
	Metrics int
	// PeersIn limits the connections from other processes of the system: each entry process
	// keeps one to the leader. The limit keeps out others that connect; it may take
	// descriptors that are idle for other purposes.
	PeersIn int
	// Inbound is for the connections of workers and operators.
	Inbound int
	// LongPolls is for the connections that wait for a worker's delayed reply.
	LongPolls int
	// Orders is for the connections that all other calls to workers share.
	Orders int
}

const (
	// defaultLimit applies if the limit is not known.
	defaultLimit = 1024
	// storageShare is one in this many descriptors, and minStorage the least
	// number.
	storageShare = 32
	minStorage   = 24

	// Shares of the descriptors that storage leaves, in percent. The rest is for
	// peers. Each worker needs a connection for long polls and one for orders.
	inboundPercent   = 18
	longPollsPercent = 34
	ordersPercent    = 37

	// metricsPart is one in this many of the descriptors for peers.
	metricsPart = 10
	// peersInPart is one in this many of all descriptors for PeersIn: 512 of 4,096, for 300
	// entry VMs and as many again.
	peersInPart = 8
)

// Split divides the limit. A limit of 0 stands for one that is not known.
func Split(limit int) Budget {
	if limit <= 0 {
		limit = defaultLimit
	}
	b := Budget{Storage: max(minStorage, limit/storageShare)}
	rest := max(0, limit-b.Storage)
	b.Inbound = atLeastOne(rest * inboundPercent / 100)
	b.LongPolls = atLeastOne(rest * longPollsPercent / 100)
	b.Orders = atLeastOne(rest * ordersPercent / 100)
	b.Peers = atLeastOne(rest - b.Inbound - b.LongPolls - b.Orders)
	b.Metrics = atLeastOne(b.Peers / metricsPart)
	b.PeersIn = atLeastOne(limit / peersInPart)
	return b
}

// EntryBudget is the number of descriptors that each purpose of an entry process may use.
// The rest is for peers, listeners and the runtime.
type EntryBudget struct {
	// Callers is for the connections of callers.
	Callers int
	// Ready and Metrics are for the connections of readiness checks and of those that
	// collect metrics.
	Ready   int
	Metrics int
	// Peers is for the connections from other processes of the system.
	Peers int
	// Policy is for the connections to the placement policy.
	Policy int
}

// Shares of an entry process's descriptors, in percent.
const (
	callersPercent      = 75
	policyPercent       = 5
	readyPercent        = 2
	entryMetricsPercent = 1
	entryPeersPercent   = 8
)

// SplitEntry divides the limit of an entry process. A limit of 0 stands for one that is
// not known.
func SplitEntry(limit int) EntryBudget {
	if limit <= 0 {
		limit = defaultLimit
	}
	share := func(percent int) int { return atLeastOne(limit * percent / 100) }
	return EntryBudget{
		Callers: share(callersPercent), Policy: share(policyPercent), Ready: share(readyPercent),
		Metrics: share(entryMetricsPercent), Peers: share(entryPeersPercent),
	}
}

func atLeastOne(n int) int { return max(1, n) }
