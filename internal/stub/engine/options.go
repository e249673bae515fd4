package engine

import "time"

// Options configure the speed and behaviour of an Engine.
type Options struct {
	// Models are the models that the engine serves; empty for any.
	Models []string
	// TokenDelay is the time between two tokens.
	TokenDelay time.Duration
	// PrefillDelay is the time per prompt token that is not in the cache.
	PrefillDelay time.Duration
	// CrashPrompt makes the engine crash when a prompt contains the text; empty for never.
	CrashPrompt string
	// OnCrash, if set, is called when the engine crashes. Without it, the engine only stops responding.
	OnCrash func()
	// RestartImmediately restarts a crashed engine, with an empty cache, before a health probe can notice the crash.
	RestartImmediately bool
	// WeightsURL is the URL of the store from which the weights of loaded models are downloaded; empty for none.
	WeightsURL string
	// ChecksFencing makes the engine reject orders with an old fencing number.
	ChecksFencing bool
}
