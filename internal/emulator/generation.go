package emulator

// HardwareGenerations lists the names of the built-in hardware generations, the slowest first.
func HardwareGenerations() []string { return []string{"g1", "g2", "g3", "g4"} }

// HardwareOptions returns the options of a built-in hardware generation, and false if the name is unknown.
//
// The generations differ by a factor of 4 in the prefill rate and by a factor of 2.4 in the decode time per token.
// The prompt budget of a step takes about 12 ms, so that a step with prefill stays within a token gap of 46 ms on the slowest
// generation in a small batch.
func HardwareOptions(name string) (Options, bool) {
	o := Options{BatchSlowdown: 0.015, BlockTokens: BlockTokens}
	switch name {
	case "g1":
		o.PrefillTokensPerSecond, o.DecodeTokensPerSecond = 4000, 1/0.024
		o.MaxBatch, o.ChunkTokens, o.CacheBlocks = 32, 48, 256
	case "g2":
		o.PrefillTokensPerSecond, o.DecodeTokensPerSecond = 6500, 1/0.018
		o.MaxBatch, o.ChunkTokens, o.CacheBlocks = 40, 80, 384
	case "g3":
		o.PrefillTokensPerSecond, o.DecodeTokensPerSecond = 10500, 1/0.013
		o.MaxBatch, o.ChunkTokens, o.CacheBlocks = 48, 128, 512
	case "g4":
		o.PrefillTokensPerSecond, o.DecodeTokensPerSecond = 16000, 1/0.010
		o.MaxBatch, o.ChunkTokens, o.CacheBlocks = 64, 192, 1024
	default:
		return Options{}, false
	}
	return o, true
}
