package tracker

// Control is one control process, as listed in the membership of the replicated log. Address is the IP address and port
// of its listener for the fleet.
type Control struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Region  string `cbor:"2,keyasint,omitempty" json:"region"`
	Centre  string `cbor:"3,keyasint,omitempty" json:"centre"`
	Address string `cbor:"4,keyasint" json:"address"`
}

// ControlNames returns the names of controls, in the same order.
func ControlNames(controls []Control) []string {
	names := make([]string, 0, len(controls))
	for _, control := range controls {
		names = append(names, control.Name)
	}
	return names
}
