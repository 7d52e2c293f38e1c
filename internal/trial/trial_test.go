package trial_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/internal/standin"
	"fescuerill/internal/trial"
)

// startCluster starts a deployment, by default of the small shape, and closes it
// when the test ends.
func startCluster(t *testing.T, o trial.Options) *trial.Cluster {
	t.Helper()
	if o.Shape.Name == "" {
		o.Shape = smallShape()
	}
	if o.Target.BaseLatency == 0 {
		o.Target.BaseLatency = time.Millisecond
	}
	cluster, err := trial.Start(o)
	require.NoError(t, err)
	t.Cleanup(cluster.Close)
	return cluster
}

// smallShape returns a shape of one group with six services and a deadline of 2 s.
func smallShape() standin.Shape {
	s := standin.TrustShape()
	s.Policy = "deadline = \"2s\"\n"
	s.Groups = s.Groups[:1]
	s.Groups[0].Services = 6
	return s
}

func TestSearchCoversEveryShardOfOneSnapshot(t *testing.T) {
	cluster := startCluster(t, trial.Options{Hosts: 3})
	r := cluster.RunLoad(trial.Load{Rate: 50, Duration: time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1, Check: trial.CheckOneSnapshot})
	assert.Positive(t, r.Answered)
	assert.Empty(t, r.Violations)
	assert.Empty(t, r.FailureReasons)
	assert.Equal(t, 1.0, r.Coverage(), r.MissingReasons)
	assert.NotEmpty(t, r.SampleAnswers, "hits are found in real text")
	assert.Zero(t, cluster.Deployment().Totals().ColdOverruns)
}
