package engine

// Stats are the engine's counters since its start or the last reset.
type Stats struct {
	Incarnation uint64 `json:"incarnation"`
	Reserves    int    `json:"reserves"`
	Refusals    int    `json:"refusals"`
	Cancels     int    `json:"cancels"`
	Prefills    int    `json:"prefills"`
	// PrefillTokens counts the prompt tokens that were computed, CachedTokens
	// those that were found in the prefix cache.
	PrefillTokens int `json:"prefill_tokens"`
	CachedTokens  int `json:"cached_tokens"`
	// WastedTokens counts the computed prompt tokens of prefills that were freed
	// without a complete export.
	WastedTokens int `json:"wasted_tokens"`
	// Expired counts the prefill results that were freed after their time to live.
	Expired int `json:"expired"`
	Exports int `json:"exports"`
	// Decodes counts streams, Tokens the tokens that they generated, and Steps the
	// decode steps. MaxActive is the largest number of requests in one step.
	Decodes        int `json:"decodes"`
	ImportFailures int `json:"import_failures"`
	Steps          int `json:"steps"`
	Tokens         int `json:"tokens"`
	MaxActive      int `json:"max_active"`
	// Held is the current number of prefills, reservations and decodes, HeldBytes
	// their KV memory, and SlotsUsed the number of slots in use.
	Held      int   `json:"held"`
	HeldBytes int64 `json:"held_bytes"`
	SlotsUsed int   `json:"slots_used"`
	// CallsInRest is the largest number of calls in one rest; see rest.Log.
	CallsInRest int `json:"calls_in_rest"`
}
