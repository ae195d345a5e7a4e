package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is a folder without subfolders. Writes are durable only after File.Sync,
// changes of names only after SyncDir. Tests use an implementation that drops or
// tears the rest at a crash (package faultfs).
type FS interface {
	// Create opens a file for appending. It creates the file, or truncates it if
	// it exists.
	Create(name string) (File, error)
	// Open opens an existing file for appending.
	Open(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncDir makes the creation, renaming and removal of files durable.
	SyncDir() error
	Close() error
}

// File is a file that is open for appending: Write writes at its end.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Close() error
}

// dirFS is an FS in a folder of the operating system.
type dirFS struct {
	path string
	lock *os.File
	// dir is the open folder, so that SyncDir needs no further descriptor.
	dir *os.File
}

// lockName is the name of the file that is locked, so that no two processes use
// the folder at the same time. It is not among the files of the FS.
const lockName = "lock"

// OpenDirFS returns an FS for the folder at path. It creates the folder if needed
// and holds an exclusive lock on it until Close; it fails if another process holds
// the lock.
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
	dir, err := os.Open(path)
	if err != nil {
		lock.Close()
		return nil, err
	}
	return &dirFS{path, lock, dir}, nil
}

// name returns the path of the file called name.
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

func (d *dirFS) SyncDir() error { return d.dir.Sync() }

func (d *dirFS) Close() error { return errors.Join(d.dir.Close(), d.lock.Close()) }
