package daemon_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"fescuerill/internal/schema/exchange"
)

// BenchmarkReply decodes the reply of a target, which is JSON by the contract
// with targets.
func BenchmarkReply(b *testing.B) {
	for _, hits := range []int{0, 10} {
		for _, parts := range []int{1, 16, 64} {
			reply := exchange.Reply{Report: exchange.Report{Incarnation: "1", State: "warm", Holdings: []exchange.Holding{{Snapshot: 1, Shards: 2, Held: []int{0, 1}}}}}
			for i := range parts {
				r := exchange.Result{RequestID: fmt.Sprintf("4711.%d", i), Snapshot: 1, Outcome: exchange.ResultOutcomeDone}
				for j := range hits {
					r.Hits = append(r.Hits, exchange.Hit{Document: fmt.Sprintf("OPERATORS.md#%d@12", j), Score: 0.734, Text: "A data centre that is taken out gets no new work within"})
				}
				reply.Results = append(reply.Results, r)
			}
			text, err := json.Marshal(reply)
			require.NoError(b, err)
			b.Run(fmt.Sprintf("hits=%d/parts=%d", hits, parts), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					var got exchange.Reply
					if json.Unmarshal(text, &got) != nil {
						b.Fatal("not decoded")
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(parts), "ns/part")
			})
		}
	}
}
