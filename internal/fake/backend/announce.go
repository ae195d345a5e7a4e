package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"kumquatwing/internal/api"
)

// announceTimeout bounds one announcement.
const announceTimeout = time.Second

// Run announces the server until ctx ends, each time to the next entry VM.
func (s *Server) Run(ctx context.Context) {
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	t := time.NewTicker(s.cfg.Every)
	defer t.Stop()
	for turn := 0; ; {
		// A refused or lost announcement goes to the next entry VM at once.
		for range s.cfg.Entries {
			entry := s.cfg.Entries[turn%len(s.cfg.Entries)]
			turn++
			if s.announce(ctx, client, entry) {
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Announcement is what the server says of itself now.
func (s *Server) Announcement() api.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return api.Announcement{
		Server:      s.cfg.Server,
		Addr:        s.Addr(),
		DC:          s.cfg.DC,
		Queue:       s.cfg.Queue,
		Slots:       s.cfg.Slots,
		Connections: s.cfg.Connections,
		Incarnation: s.cfg.Incarnation,
		Leaving:     s.leaving,
	}
}

// announce reports whether the entry VM took the announcement.
func (s *Server) announce(ctx context.Context, client *http.Client, entry string) bool {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		return true
	}
	body, err := json.Marshal(s.Announcement())
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+api.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
