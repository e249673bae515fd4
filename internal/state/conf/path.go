package conf

import (
	"fmt"
	"regexp"
	"strings"
)

// RootBranch is the path of the root branch, from which all other branches inherit.
const RootBranch = "/"

const maxBranchDepth = 16

var segmentPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// CheckBranch returns an error if path is not a valid branch path. The error contains the path.
func CheckBranch(path string) error {
	if path == RootBranch {
		return nil
	}
	if !strings.HasPrefix(path, "/") {
		return fmt.Errorf("branch %q must begin with /", path)
	}
	segs := strings.Split(path[1:], "/")
	if len(segs) > maxBranchDepth {
		return fmt.Errorf("branch %q is deeper than %d levels", path, maxBranchDepth)
	}
	for _, s := range segs {
		if !segmentPattern.MatchString(s) {
			return fmt.Errorf(
				"branch %q: segment %q must be 1 to 63 lower-case letters, digits and hyphens, and not start with a hyphen",
				path, s)
		}
	}
	return nil
}

// parent returns the path of the parent branch. It reports false for the root, which has none.
func parent(path string) (string, bool) {
	if path == RootBranch {
		return "", false
	}
	i := strings.LastIndexByte(path, '/')
	if i == 0 {
		return RootBranch, true
	}
	return path[:i], true
}

// AtOrBelow reports whether path is the branch or one of its descendants.
func AtOrBelow(path, branch string) bool {
	return branch == RootBranch || path == branch || strings.HasPrefix(path, branch+"/")
}
