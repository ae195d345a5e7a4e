package cellapi

import "sync"

// bodyLimit caches the limit on callers' bodies that the configuration states, since hellos ask
// for it about every second and the document may be long.
type bodyLimit struct {
	mu sync.Mutex
	// known is set once the limit of the version was read.
	known   bool
	version int64
	bytes   int64
}

// of returns the limit of a version of the configuration, which read reads.
func (b *bodyLimit) of(version int64, read func() int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.known || b.version != version {
		b.known, b.version, b.bytes = true, version, read()
	}
	return b.bytes
}

// maxBodyBytes returns the limit on callers' bodies that the configuration states, 0 if there is
// none.
func (s *Server) maxBodyBytes() int64 {
	if s.MaxBodyBytes == nil {
		return 0
	}
	var version int64
	var document []byte
	s.State.Read(func() { version, document = s.State.Config.Version, s.State.ConfigDocument })
	if document == nil {
		return 0
	}
	return s.limit.of(version, func() int64 { return s.MaxBodyBytes(document) })
}

// MaxBodyBytes returns the limit on callers' bodies that the leader has last told, 0 if it knows
// none.
func (c *Client) MaxBodyBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxBodyBytes
}
