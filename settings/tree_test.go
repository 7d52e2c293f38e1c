package settings_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/settings"
)

const smallTree = `deployment = "khomas"
[policy]
deadline = "50ms"
[data-centres.khomas-a]
[data-centres.khomas-b]
state = "out"
[groups.desk.policy]
slots = 4
[groups.desk.services.desk-01.targets.a]
address = "10.0.0.1:80"
data-centre = "khomas-a"
[groups.desk.services.desk-01.targets.b]
address = "10.0.0.2:80"
data-centre = "khomas-b"
[groups.desk.services.desk-01.targets.b.policy]
slots = 3
`

func TestEffectiveValuesReportLevel(t *testing.T) {
	tree, err := settings.ParseTree("small.toml", []byte(smallTree))
	require.NoError(t, err)
	tests := []struct{ path, key, want, level string }{
		{"", "deadline", "50ms", "deployment"},
		{"desk/desk-01/a", "slots", "4", "desk"},
		{"desk/desk-01/b", "slots", "3", "desk/desk-01/b"},
		{"desk/desk-01/b", "connections", "25", "default"},
	}
	for _, tt := range tests {
		values, err := tree.EffectiveValues(tt.path)
		require.NoError(t, err)
		for _, v := range values {
			if v.Key() == tt.key {
				assert.Equal(t, tt.want, v.Text(), tt.path)
				assert.Equal(t, tt.level, v.Level(), tt.path)
			}
		}
	}
	_, err = tree.EffectiveValues("desk/desk-09")
	require.ErrorIs(t, err, settings.ErrUnknownPath)
}

func TestAcceptsWorkUnlessLeavingOrEvacuated(t *testing.T) {
	tree, err := settings.ParseTree("small.toml", []byte(smallTree))
	require.NoError(t, err)
	resolved := tree.Resolve(7)
	assert.True(t, resolved.AcceptsWork(resolved.Target("desk/desk-01/a")))
	assert.False(t, resolved.AcceptsWork(resolved.Target("desk/desk-01/b")), "its data centre is evacuated")
	assert.True(t, resolved.DataCentreEvacuated("khomas-z"), "an unknown data centre counts as evacuated")
	assert.Len(t, resolved.AppendServices(nil, "desk"), 1)
	assert.Empty(t, resolved.AppendServices(nil, "des"))
}

func TestParseTreeReportsEveryError(t *testing.T) {
	const faulty = `deployment = "khomas"
[data-centres.khomas-a]
[groups.desk.policy]
deadline = "50"
slots = 0
wrong = 1
[groups.desk.services.desk-01.targets.a]
address = "db.example:80"
data-centre = "khomas-a"
[groups.desk.services.desk-02.targets.a]
address = "10.0.0.2:80"
data-centre = "khomas-a"
[groups.desk.services.desk-02.targets.b]
address = "10.0.0.2:80"
data-centre = "khomas-a"
[groups.desk.services.desk-03.targets]
`
	_, err := settings.ParseTree("faulty.toml", []byte(faulty))
	var got settings.Findings
	require.ErrorAs(t, err, &got)
	want := []struct {
		line int
		key  string
	}{
		{4, "groups.desk.policy.deadline"},
		{5, "groups.desk.policy.slots"},
		{6, "groups.desk.policy.wrong"},
		{8, "groups.desk.services.desk-01.targets.a.address"},
		{14, "groups.desk.services.desk-02.targets.b.address"},
		{16, "groups.desk.services.desk-03.targets"},
	}
	require.Len(t, got, len(want), err)
	for i, w := range want {
		assert.Equal(t, w.key, got[i].Key())
		assert.Equal(t, w.line, got[i].Position().Line, got[i].String())
	}
}

func TestParseNodeRejectsInvalidAddressesAndDurations(t *testing.T) {
	_, err := settings.ParseNode("n.toml", []byte(`id = "h1"
data-centre = "a"
caller-address = "localhost:1"
peer-address = "300.0.0.1:2"
store = "127.0.0.1:3"
lease-time = "5"
`))
	var got settings.Findings
	require.ErrorAs(t, err, &got)
	require.Len(t, got, 3, err)
}

func FuzzParseTree(f *testing.F) {
	f.Add(smallTree)
	f.Add("deployment = 1\n[groups]\n")
	f.Add("[a]\n[a.b]\nc = [1, {d = 2}]\n")
	f.Fuzz(func(t *testing.T, text string) {
		tree, err := settings.ParseTree("f.toml", []byte(text))
		if (tree == nil) == (err == nil) {
			t.Fatal("got both a tree and findings, or neither")
		}
		if tree != nil {
			tree.Resolve(1)
		}
	})
}
