package comparer

import (
	"github.com/dragonflycroft/dragonflycroft/internal/baseliner"
	"github.com/dragonflycroft/dragonflycroft/internal/replayer"
)

func buildScheduler(pool string, _, _ uint64) replayer.Policy {
	return baseliner.New("first_come", pool)
}
