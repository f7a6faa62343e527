package cornelwall

import "fmt"

const maxNameLen = 63 // bytes; the limit of a DNS label

// CheckName reports an error unless name consists of 1 to 63 characters of a-z, 0-9 and
// "-". The error names the field.
func CheckName(field, name string) error {
	if len(name) == 0 || len(name) > maxNameLen {
		return fmt.Errorf("%s %q has %d characters; use 1 to %d", field, name, len(name), maxNameLen)
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return fmt.Errorf("%s %q contains %q; use only a-z, 0-9 and \"-\"", field, name, c)
		}
	}
	return nil
}
