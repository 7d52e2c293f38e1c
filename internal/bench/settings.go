package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"fescuerill/internal/schema/platform"
	"fescuerill/settings"
)

// SettingsServiceCounts are the numbers of services, with two targets each, that
// SettingsTransfer measures. The last is the size that the system is designed for.
var SettingsServiceCounts = []int{53, 250, 1000, 1950}

// SettingsTransfer compares three ways to transfer a change of one service's
// settings to a daemon: the full tree, the manifest with the changed parts, and
// the delta of the manifest with the changed parts. It writes a table of the
// bytes and reads that one change takes, and the time to resolve the changed tree.
func SettingsTransfer(w io.Writer) error {
	fmt.Fprintf(w, "| targets | whole tree, bytes | manifest and changed parts, bytes | change of the manifest and changed parts, bytes | reads: tree, manifest, change | view made in ms |\n|---|---|---|---|---|---|\n")
	for _, services := range SettingsServiceCounts {
		if err := writeSettingsRow(w, services); err != nil {
			return err
		}
	}
	return nil
}

func writeSettingsRow(w io.Writer, services int) error {
	before, _, err := generateTree(services, 512)
	if err != nil {
		return err
	}
	after, text, err := generateTree(services, 511)
	if err != nil {
		return err
	}
	old, err := buildManifest(before, 1)
	if err != nil {
		return err
	}
	next, err := buildManifest(after, 2)
	if err != nil {
		return err
	}
	delta := settings.DiffManifests(old, next)
	parts, err := after.Parts()
	if err != nil {
		return err
	}
	changed := 0
	for _, c := range delta.Changed {
		for _, p := range parts {
			if p.Hash() == c.Hash {
				changed += len(p.Content())
			}
		}
	}
	start := time.Now()
	after.Resolve(2)
	resolveTime := time.Since(start)
	fmt.Fprintf(w, "| %d | %d | %d | %d | 1, %d, 0 | %.1f |\n", 2*services, len(text), jsonSize(next)+changed, jsonSize(delta)+changed, 1+len(delta.Changed), float64(resolveTime.Microseconds())/1000)
	return nil
}

// jsonSize returns the length of v as JSON in bytes, or 0 if it can't be encoded.
func jsonSize(v any) int {
	text, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(text)
}

// buildManifest returns the manifest of a tree.
func buildManifest(t *settings.Tree, revision int) (platform.Manifest, error) {
	m := platform.Manifest{Revision: revision, ChangeID: "4711"}
	parts, err := t.Parts()
	for _, p := range parts {
		m.Parts = append(m.Parts, platform.PartRef{Path: p.Path(), Hash: p.Hash()})
	}
	return m, err
}

// generateTree returns settings, parsed and as TOML, of the given number of
// services with two targets each in six data centres. The first service gets the
// given queue length.
func generateTree(services, queue int) (*settings.Tree, string, error) {
	text := "deployment = \"khomas\"\n"
	for dc := range 6 {
		text += fmt.Sprintf("[data-centres.khomas-%c]\nstate = \"in\"\n", 'a'+dc)
	}
	text += fmt.Sprintf("[groups.desk.services.desk-0000.policy]\nqueue = %d\n", queue)
	for i := range services {
		for j := range 2 {
			text += fmt.Sprintf("[groups.desk.services.desk-%04d.targets.%c]\naddress = \"10.%d.%d.%d:8080\"\ndata-centre = \"khomas-%c\"\n",
				i, 'a'+j, j, i/250, i%250+1, 'a'+(i+j)%6)
		}
	}
	t, err := settings.ParseTree("bench.toml", []byte(text))
	return t, text, err
}
