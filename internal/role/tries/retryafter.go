package tries

import "time"

// noUpstreamRetryAfter is when a caller may retry after no live upstream was found.
const noUpstreamRetryAfter = time.Second
