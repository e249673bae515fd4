package frame

// InstanceHeader names the instance that a request is meant for, so that a process that now listens at another one's
// former address does not answer in its place.
const InstanceHeader = "Galenaward-Instance"
