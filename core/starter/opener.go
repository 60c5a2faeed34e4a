package starter

import "net"

// Opener opens the listeners of a process and collects the errors. The zero value is ready to use.
type Opener struct {
	errs []error
}

// Listen opens the listener for the address given by flag. If that fails, it records the error and returns nil.
func (o *Opener) Listen(flag, address string) net.Listener {
	listener, err := Listen(flag, address)
	if err != nil {
		o.errs = append(o.errs, err)
	}
	return listener
}

// Err returns the recorded errors as one error, or nil if there are none.
func (o *Opener) Err() error { return Join(o.errs) }
