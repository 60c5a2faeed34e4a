package starter

import "net"

// Opener opens the listeners of a process and collects what is wrong with them. The zero value has opened none.
type Opener struct {
	errs []error
}

// Listen opens the listener that flag names, or notes why it could not.
func (o *Opener) Listen(flag, address string) net.Listener {
	listener, err := Listen(flag, address)
	if err != nil {
		o.errs = append(o.errs, err)
	}
	return listener
}

// Err returns all that was wrong as one error, or nil.
func (o *Opener) Err() error { return Join(o.errs) }
