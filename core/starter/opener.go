package starter

import "net"

// Opener opens the listeners of a process and collects what is wrong with them. The zero value has opened none.
type Opener struct {
	wrong []error
}

// Listen opens the listener that flag names, or notes why it could not.
func (o *Opener) Listen(flag, address string) net.Listener {
	listener, err := Listen(flag, address)
	if err != nil {
		o.wrong = append(o.wrong, err)
	}
	return listener
}

// Err returns all that was wrong as one error, or nil.
func (o *Opener) Err() error { return Join(o.wrong) }
