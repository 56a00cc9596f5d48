package persister

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// File is the subset of os.File that the persister uses.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// FS is the set of file system operations that the persister uses. Tests substitute one that injects failures.
type FS interface {
	ReadFile(name string) ([]byte, error)
	OpenFile(name string, flag int) (File, error)
	Rename(from, to string) error
	MkdirAll(dir string) error
	SyncDir(dir string) error
	// Lock takes an exclusive lock on the folder. Closing the result releases it.
	Lock(dir string) (io.Closer, error)
}

// OS is the file system of the host.
type OS struct{}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// OpenFile implements FS.
func (OS) OpenFile(name string, flag int) (File, error) { return os.OpenFile(name, flag, fileMode) }

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, folderMode) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock implements FS with flock, which the kernel releases when the process exits.
func (OS) Lock(dir string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(eris.Wrap(err, "the folder is in use by another process"), f.Close())
	}
	return f, nil
}

func writeAndSync(f File, data []byte) error {
	n, err := f.Write(data)
	if err != nil {
		return err
	}
	if n < len(data) {
		return io.ErrShortWrite
	}
	return f.Sync()
}
