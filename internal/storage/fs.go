package storage

import (
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is one flat folder. What was written is durable only after a sync; tests
// replace it by one that loses and tears the rest.
type FS interface {
	// Create opens a new or emptied file.
	Create(name string) (File, error)
	// Open opens a file to append to it.
	Open(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncDir makes created, renamed and removed names durable.
	SyncDir() error
	Close() error
}

// File is an open file; Write appends.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Close() error
}

// dirFS is a folder of the operating system.
type dirFS struct {
	path string
	lock *os.File
}

// lockName is the file whose lock keeps a second process out.
const lockName = "lock"

// OpenDirFS returns the folder at path, made if needed and locked against others.
func OpenDirFS(path string) (FS, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("storage: %s is in use by another process: %w", path, err)
	}
	return &dirFS{path, lock}, nil
}

func (d *dirFS) name(name string) string { return filepath.Join(d.path, name) }

func (d *dirFS) Create(name string) (File, error) {
	return os.OpenFile(d.name(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o644)
}

func (d *dirFS) Open(name string) (File, error) {
	return os.OpenFile(d.name(name), os.O_WRONLY|os.O_APPEND, 0o644)
}

func (d *dirFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.name(name)) }

func (d *dirFS) Rename(from, to string) error { return os.Rename(d.name(from), d.name(to)) }

func (d *dirFS) Remove(name string) error { return os.Remove(d.name(name)) }

func (d *dirFS) List() ([]string, error) {
	found, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, f := range found {
		if f.Name() != lockName {
			names = append(names, f.Name())
		}
	}
	return names, nil
}

func (d *dirFS) SyncDir() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (d *dirFS) Close() error { return d.lock.Close() }
