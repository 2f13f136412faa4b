package takeover

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// descriptorReader reads from a connection and collects the descriptors that come with its bytes.
type descriptorReader struct {
	conn *net.UnixConn
	fds  []int // received, and not yet taken by takeConns
}

// maxDescriptors limits the descriptors of one read.
const maxDescriptors = 4

// Read implements io.Reader.
func (r *descriptorReader) Read(b []byte) (int, error) {
	oob := make([]byte, unix.CmsgSpace(4*maxDescriptors))
	n, oobn, _, _, err := r.conn.ReadMsgUnix(b, oob)
	if err != nil {
		return 0, err // n is -1 then, which callers of a reader don't expect
	}
	if n == 0 && len(b) > 0 {
		err = io.EOF
	}
	controls, _ := unix.ParseSocketControlMessage(oob[:oobn])
	for i := range controls {
		fds, _ := unix.ParseUnixRights(&controls[i])
		r.fds = append(r.fds, fds...)
	}
	return n, err
}

// closeUnclaimed closes the descriptors that nobody has taken.
func (r *descriptorReader) closeUnclaimed() {
	for _, fd := range r.fds {
		unix.Close(fd)
	}
	r.fds = nil
}

// takeConns returns the next two descriptors as connections of a caller and an endpoint.
func (r *descriptorReader) takeConns() (a, b net.Conn, err error) {
	if len(r.fds) < 2 {
		return nil, nil, fmt.Errorf("received %d descriptors with a long answer, want 2", len(r.fds))
	}
	files := [2]*os.File{os.NewFile(uintptr(r.fds[0]), "caller"), os.NewFile(uintptr(r.fds[1]), "endpoint")}
	r.fds = r.fds[2:]
	defer files[0].Close()
	defer files[1].Close()
	if a, err = net.FileConn(files[0]); err != nil {
		return nil, nil, err
	}
	if b, err = net.FileConn(files[1]); err != nil {
		a.Close()
		return nil, nil, err
	}
	return a, b, nil
}

// receiveListener reads the byte that carries a listener's descriptor.
func receiveListener(conn *net.UnixConn) (net.Listener, error) {
	var b [1]byte
	oob := make([]byte, unix.CmsgSpace(4))
	n, oobn, _, _, err := conn.ReadMsgUnix(b[:], oob)
	if err != nil {
		return nil, err
	}
	controls, err := unix.ParseSocketControlMessage(oob[:oobn])
	if err != nil || n != 1 || len(controls) != 1 {
		return nil, fmt.Errorf("%d bytes with %d control messages: %w", n, len(controls), errors.Join(err, fs.ErrInvalid))
	}
	fds, err := unix.ParseUnixRights(&controls[0])
	if err != nil || len(fds) != 1 {
		return nil, fmt.Errorf("%d descriptors: %w", len(fds), errors.Join(err, fs.ErrInvalid))
	}
	file := os.NewFile(uintptr(fds[0]), "listener")
	defer file.Close()
	return net.FileListener(file)
}

// sendListener writes the byte that carries a listener's descriptor.
func sendListener(conn *net.UnixConn, listener syscall.Conn) error {
	return withFD(listener, func(fd int) error {
		_, _, err := conn.WriteMsgUnix([]byte{'L'}, unix.UnixRights(fd), nil)
		return err
	})
}

// withFD calls f with a connection's descriptor, which stays open meanwhile.
func withFD(c syscall.Conn, f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = f(int(fd)) })
	return errors.Join(err, failed)
}
