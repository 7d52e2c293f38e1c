package trial_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/internal/standin"
	"fescuerill/internal/trial"
)

func startTrial(t *testing.T, o trial.Options) *trial.Trial {
	t.Helper()
	if o.Shape.Name == "" {
		o.Shape = smallShape()
	}
	if o.Target.Base == 0 {
		o.Target.Base = time.Millisecond
	}
	run, err := trial.Start(o)
	require.NoError(t, err)
	t.Cleanup(run.Close)
	return run
}

func smallShape() standin.Shape {
	s := standin.TrustShape()
	s.Policy = "deadline = \"2s\"\n"
	s.Groups = s.Groups[:1]
	s.Groups[0].Services = 6
	return s
}

func TestSearchCoversEveryShardOfOneSnapshot(t *testing.T) {
	run := startTrial(t, trial.Options{Hosts: 3})
	r := run.Run(trial.Load{Rate: 50, Duration: time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1, Check: trial.OneSnapshot})
	assert.Positive(t, r.Answered)
	assert.Empty(t, r.Violations)
	assert.Empty(t, r.Refused)
	assert.Equal(t, 1.0, r.Coverage(), r.Missing)
	assert.NotEmpty(t, r.Sample, "hits are found in real text")
	assert.Zero(t, run.Deployment().Totals().ColdOverruns)
}
