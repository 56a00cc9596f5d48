package generator

// logNormal describes a log-normal distribution whose values are clamped to the range from low to high.
type logNormal struct {
	median, sigma float64
	low, high     int
}

// class is one kind of request in a profile.
type class struct {
	name, tier string
	// rate is the number of requests per second at full load.
	rate float64
	// weight is the value of one answered request in the service measure.
	weight         float64
	prompt, output logNormal
	// systemBlocks is the number of prompt blocks that all requests of the class share.
	systemBlocks int
	// maxThreadBlocks is the largest number of prompt blocks from earlier turns; 0 means that requests have no earlier turns.
	maxThreadBlocks int
	// service is the time of one call in microseconds. Classes that set it are sent to the plain services.
	service    logNormal
	once       bool
	deadlineMS int64
	targetMS   int64
	retries    int
}

// tier is one tier of a profile. Profiles list the most urgent tier first.
type tier struct {
	name                       string
	firstMS, gapMS, patienceMS int
	share                      float64
}

// profile describes the configuration and the traffic of one user.
type profile struct {
	name       string
	model      string
	workspaces []string
	tiers      []tier
	classes    []class
	runners    int
	// floodMost, floodLeast and floodCaller name the classes of the floods.
	floodMost, floodLeast, floodCaller string
	// capacity is the number of output tokens per second that the model runners produce for this mix within the targets.
	capacity float64
}

func profiles() map[string]profile {
	return map[string]profile{"kessler": kessler(), "gramofon": gramofon()}
}

func kessler() profile {
	return profile{
		name:       "kessler",
		model:      "kessler-chat",
		workspaces: []string{"austin", "dallas", "lubbock", "marfa", "waco"},
		tiers: []tier{
			{"counter", 740, 46, 0, 0.35},
			{"orders", 1500, 80, 0, 0.25},
			{"quotes", 5000, 120, 0, 0.25},
			{"bulk", 20000, 250, 30000, 0.15},
		},
		classes: []class{
			{name: "counter_chat", tier: "counter", rate: 40, weight: 3, prompt: logNormal{220, 0.5, 40, 900}, output: logNormal{50, 0.5, 10, 160}, systemBlocks: 3, maxThreadBlocks: 4, deadlineMS: 10000, retries: 1},
			{name: "fill_weight", tier: "counter", rate: 40, weight: 2, prompt: logNormal{90, 0.4, 30, 300}, output: logNormal{20, 0.6, 4, 60}, systemBlocks: 3, deadlineMS: 10000, retries: 1},
			{name: "order_chat", tier: "orders", rate: 20, weight: 3, prompt: logNormal{350, 0.5, 60, 1200}, output: logNormal{100, 0.5, 20, 300}, systemBlocks: 4, maxThreadBlocks: 5, deadlineMS: 20000, retries: 2},
			{name: "custom_quote", tier: "quotes", rate: 7, weight: 12, prompt: logNormal{900, 0.6, 200, 3000}, output: logNormal{400, 0.4, 120, 700}, systemBlocks: 6, maxThreadBlocks: 16, deadlineMS: 60000, targetMS: 45000, retries: 3},
			{name: "catalogue_text", tier: "bulk", rate: 10, weight: 1, prompt: logNormal{600, 0.6, 100, 2500}, output: logNormal{320, 0.5, 60, 700}, systemBlocks: 4, deadlineMS: 60000, retries: 2},
			{name: "stock_lookup", tier: "orders", rate: 20, weight: 1, service: logNormal{25000, 0.4, 8000, 120000}, deadlineMS: 8000, retries: 2},
			{name: "order_status", tier: "counter", rate: 20, weight: 1, service: logNormal{20000, 0.4, 8000, 90000}, deadlineMS: 8000, retries: 1},
			{name: "refill_charge", tier: "orders", rate: 5, weight: 6, service: logNormal{45000, 0.4, 15000, 200000}, once: true, deadlineMS: 15000, retries: 2},
			{name: "pallet_reservation", tier: "orders", rate: 3, weight: 6, service: logNormal{60000, 0.4, 20000, 250000}, once: true, deadlineMS: 15000, retries: 2},
		},
		runners:   18,
		floodMost: "counter_chat", floodLeast: "catalogue_text", floodCaller: "order_chat",
		capacity: 12600,
	}
}

func gramofon() profile {
	return profile{
		name:       "gramofon",
		model:      "gramofon-repair",
		workspaces: []string{"bandung", "jakarta", "malang", "semarang", "surabaya"},
		tiers: []tier{
			{"diagnosis", 740, 46, 0, 0.35},
			{"parts", 1500, 80, 0, 0.25},
			{"writeups", 6000, 120, 0, 0.25},
			{"archive", 20000, 250, 30000, 0.15},
		},
		classes: []class{
			{name: "fault_diagnosis", tier: "diagnosis", rate: 24, weight: 4, prompt: logNormal{260, 0.5, 40, 1000}, output: logNormal{70, 0.5, 12, 200}, systemBlocks: 4, maxThreadBlocks: 3, deadlineMS: 10000, retries: 1},
			{name: "spring_part", tier: "diagnosis", rate: 26, weight: 2, prompt: logNormal{80, 0.4, 30, 250}, output: logNormal{20, 0.6, 4, 60}, systemBlocks: 4, deadlineMS: 10000, retries: 1},
			{name: "parts_chat", tier: "parts", rate: 12, weight: 3, prompt: logNormal{320, 0.5, 60, 1000}, output: logNormal{100, 0.5, 20, 300}, systemBlocks: 4, maxThreadBlocks: 4, deadlineMS: 20000, retries: 2},
			{name: "restoration", tier: "writeups", rate: 4.5, weight: 8, prompt: logNormal{1000, 0.6, 200, 3500}, output: logNormal{480, 0.3, 200, 700}, systemBlocks: 6, maxThreadBlocks: 12, deadlineMS: 60000, targetMS: 50000, retries: 3},
			{name: "archive_text", tier: "archive", rate: 6, weight: 1, prompt: logNormal{700, 0.6, 100, 2500}, output: logNormal{320, 0.5, 60, 700}, systemBlocks: 4, deadlineMS: 60000, retries: 2},
			{name: "stock_read", tier: "parts", rate: 20, weight: 1, service: logNormal{22000, 0.4, 8000, 100000}, deadlineMS: 8000, retries: 2},
			{name: "parts_order", tier: "parts", rate: 5, weight: 6, service: logNormal{50000, 0.4, 15000, 220000}, once: true, deadlineMS: 15000, retries: 2},
		},
		runners:   12,
		floodMost: "fault_diagnosis", floodLeast: "archive_text", floodCaller: "parts_chat",
		capacity: 8800,
	}
}
