package engine

// Stats are the engine's counters since its start or the last reset.
type Stats struct {
	Incarnation uint64 `json:"incarnation"`
	Reserves    int    `json:"reserves"`
	Refusals    int    `json:"refusals"`
	Cancels     int    `json:"cancels"`
	Prefills    int    `json:"prefills"`
	// PrefillTokens were computed; CachedTokens were found in the cache.
	PrefillTokens int `json:"prefill_tokens"`
	CachedTokens  int `json:"cached_tokens"`
	// WastedTokens were computed for a result that nobody imported.
	WastedTokens int `json:"wasted_tokens"`
	// Expired counts results freed because their time was over.
	Expired int `json:"expired"`
	Exports int `json:"exports"`
	// Decodes counts streams; Tokens what they generated, in Steps steps with at
	// most MaxActive requests in one.
	Decodes        int `json:"decodes"`
	ImportFailures int `json:"import_failures"`
	Steps          int `json:"steps"`
	Tokens         int `json:"tokens"`
	MaxActive      int `json:"max_active"`
	// Held and HeldBytes are what is held now; SlotsUsed the slots taken now.
	Held      int   `json:"held"`
	HeldBytes int64 `json:"held_bytes"`
	SlotsUsed int   `json:"slots_used"`
}
