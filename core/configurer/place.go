package configurer

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// maxPlaceBytes bounds the names of regions and data centres.
const maxPlaceBytes = 256

// validRegions reports whether each of regions has a valid name. A region that no process stands in is valid: the processes
// that are known change.
func validRegions(regions []string) bool {
	for _, region := range regions {
		if !ValidPlace(region) {
			return false
		}
	}
	return true
}

// ValidPlace reports whether name can be that of a region or a data centre.
func ValidPlace(name string) bool {
	return name != "" && len(name) <= maxPlaceBytes && utf8.ValidString(name) && !strings.ContainsFunc(name, unicode.IsControl)
}
