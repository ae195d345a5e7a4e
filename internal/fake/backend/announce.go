package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"kumquatwing/internal/api"
)

// announceTimeout is the timeout of one announcement.
const announceTimeout = time.Second

// Run announces the server every Config.AnnounceInterval until ctx is cancelled,
// to the entry VMs round-robin.
func (s *Server) Run(ctx context.Context) {
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	t := time.NewTicker(s.cfg.AnnounceInterval)
	defer t.Stop()
	for nextEntry := 0; ; {
		// If an announcement fails, the next entry VM is tried immediately.
		for range s.cfg.Entries {
			entry := s.cfg.Entries[nextEntry%len(s.cfg.Entries)]
			nextEntry++
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

// Announcement returns the announcement for the server's current state.
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

// announce sends one announcement and reports whether the entry VM accepted it.
// Once announcements are stopped it sends nothing and returns true.
func (s *Server) announce(ctx context.Context, client *http.Client, entry string) bool {
	s.mu.Lock()
	announcementsStopped := s.announcementsStopped
	s.mu.Unlock()
	if announcementsStopped {
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
