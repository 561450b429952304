package process

import (
	"io"
	"os"
	"sync"
)

// outputFiles are the files that a process to be started writes to.
type outputFiles struct {
	list   []*os.File
	opened []*os.File // those that this process has to close once the other process has them
}

// add adds the file that leads to the writer. Copies through a pipe are counted in copies until they end.
func (f *outputFiles) add(w io.Writer, copies *sync.WaitGroup) error {
	if file, ok := w.(*os.File); ok {
		f.list = append(f.list, file)
		return nil
	}
	file, err := fileTo(w, copies)
	if err != nil {
		return err
	}
	f.list, f.opened = append(f.list, file), append(f.opened, file)
	return nil
}

// fileTo returns a file whose content is copied to the writer, or discarded when it is nil.
func fileTo(w io.Writer, copies *sync.WaitGroup) (*os.File, error) {
	if w == nil {
		return os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	}
	from, to, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	copies.Go(func() {
		defer from.Close()
		_, _ = io.Copy(w, from) // ends when no process has the pipe open
	})
	return to, nil
}

func (f *outputFiles) close() {
	for _, file := range f.opened {
		_ = file.Close()
	}
}
