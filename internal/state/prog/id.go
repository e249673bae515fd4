package prog

import (
	"crypto/rand"
	"fmt"
	"strings"
)

// idSeparator separates the parts of a program ID: first holder, root and, for a sub-agent, child.
const idSeparator = "~"

const (
	streamPrefix = "home."
	rootIDRunes  = 12
	childIDRunes = 8
)

// NewRootID returns a new ID for a root program whose first holder is the instance.
func NewRootID(instance string) string {
	return instance + idSeparator + strings.ToLower(rand.Text()[:rootIDRunes])
}

// NewChildID returns a new ID for a sub-agent in the root's tree.
func NewChildID(root string) string {
	return root + idSeparator + strings.ToLower(rand.Text()[:childIDRunes])
}

// NewInstanceID returns a new instance ID, which identifies one run of a process on the VM.
func NewInstanceID(vm string) string {
	return vm + "." + strings.ToLower(rand.Text()[:childIDRunes])
}

// VMOf returns the VM part of an instance ID.
func VMOf(instance string) string {
	i := strings.LastIndexByte(instance, '.')
	if i < 0 {
		return instance
	}
	return instance[:i]
}

// ParseID returns the root program and the first holder of a program ID.
func ParseID(id string) (root, holder string, err error) {
	parts := strings.Split(id, idSeparator)
	if len(parts) < 2 || len(parts) > 3 || parts[0] == "" || parts[1] == "" || !strings.Contains(parts[0], ".") {
		return "", "", fmt.Errorf("program id %q is malformed", id)
	}
	return parts[0] + idSeparator + parts[1], parts[0], nil
}

// HolderStream returns the name of the log stream of an instance that holds programs.
func HolderStream(instance string) string { return streamPrefix + instance }
