package process

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"syscall"
)

const (
	maxMessage = 64 << 10 // bytes
	maxControl = 256      // bytes for the file descriptors of a message
)

// startRequest asks the starter for a process. The files for its output are sent with it.
type startRequest struct {
	Number int
	Path   string
	Args   []string
}

// startReport tells the test that a process was started, could not be started, or has exited.
type startReport struct {
	Number    int
	ProcessID int         // of a process that was started
	Failure   string      // why it could not be started
	Exit      *exitStatus // how it exited
}

// send sends one message with open files.
func send(conn *net.UnixConn, message any, descriptors []int) error {
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	if len(text) > maxMessage {
		return fmt.Errorf("message of %d bytes, the limit is %d", len(text), maxMessage)
	}
	var control []byte
	if len(descriptors) > 0 {
		control = syscall.UnixRights(descriptors...)
	}
	_, _, err = conn.WriteMsgUnix(text, control, nil)
	return err
}

// receive receives one message and the open files sent with it.
func receive(conn *net.UnixConn, into any) ([]*os.File, error) {
	text, control := make([]byte, maxMessage), make([]byte, maxControl)
	n, controlLength, _, _, err := conn.ReadMsgUnix(text, control)
	if err != nil {
		return nil, err
	}
	files, err := filesIn(control[:controlLength])
	if err != nil {
		return nil, err
	}
	return files, json.Unmarshal(text[:n], into)
}

// filesIn returns the open files of a control message.
func filesIn(control []byte) ([]*os.File, error) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return nil, err
	}
	var files []*os.File
	for _, m := range messages {
		descriptors, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return nil, err
		}
		for _, d := range descriptors {
			files = append(files, os.NewFile(uintptr(d), "output"))
		}
	}
	return files, nil
}
