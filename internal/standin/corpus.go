package standin

import (
	"fmt"
	"io/fs"
	"slices"
	"sort"
	"strings"
	"unicode"

	"github.com/cespare/xxhash/v2"
)

// Corpus is an inverted index over the paragraphs of a set of documents. Each
// snapshot distributes the paragraphs over services and shards differently and
// omits some, so that an answer shows which snapshot it was computed from.
type Corpus struct {
	paragraphs []paragraph
	postings   map[string][]posting
}

type paragraph struct {
	name, text string
	hash       uint64
}

type posting struct {
	paragraph, count int
}

// Hit is a paragraph that matches a search. Document has the form
// PATH#PARAGRAPH@SNAPSHOT, and Text is the first line of the paragraph, cut to 80
// bytes.
type Hit struct {
	Document, Text string
	Score          float64
}

// NewCorpus returns an index of all files in the file system.
func NewCorpus(files fs.FS) (*Corpus, error) {
	c := &Corpus{postings: map[string][]posting{}}
	err := fs.WalkDir(files, ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		text, err := fs.ReadFile(files, path)
		if err != nil {
			return err
		}
		c.addDocument(path, string(text))
		return nil
	})
	return c, err
}

func (c *Corpus) addDocument(path, text string) {
	for i, p := range strings.Split(text, "\n\n") {
		counts := map[string]int{}
		for _, w := range words(p) {
			counts[w]++
		}
		if len(counts) == 0 {
			continue
		}
		name := fmt.Sprintf("%s#%d", path, i+1)
		c.paragraphs = append(c.paragraphs, paragraph{name, firstLine(p), xxhash.Sum64String(name)})
		for w, n := range counts {
			c.postings[w] = append(c.postings[w], posting{len(c.paragraphs) - 1, n})
		}
	}
}

func words(text string) []string {
	return strings.FieldsFunc(strings.ToLower(text), func(r rune) bool {
		return !unicode.IsLetter(r) && !unicode.IsDigit(r)
	})
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(text), "\n")
	return line[:min(len(line), 80)]
}

// FrequentWords returns up to n words of more than four bytes, those that occur
// in the most paragraphs first.
func (c *Corpus) FrequentWords(n int) []string {
	all := make([]string, 0, len(c.postings))
	for w := range c.postings {
		if len(w) > 4 {
			all = append(all, w)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := len(c.postings[all[i]]), len(c.postings[all[j]])
		if a != b {
			return a > b
		}
		return all[i] < all[j]
	})
	return all[:min(n, len(all))]
}

// Search returns the highest-scoring paragraphs, at most limit, of one shard
// under a snapshot. The shard is number shard of shards, of the service with
// number service of services; numbers start at 0.
func (c *Corpus) Search(snapshot, service, services, shard, shards int, terms string, limit int) []Hit {
	scores := map[int]float64{}
	for _, w := range words(terms) {
		postings := c.postings[w]
		for _, p := range postings {
			if c.inShard(p.paragraph, snapshot, service, services, shard, shards) {
				scores[p.paragraph] += float64(p.count) / float64(1+len(postings))
			}
		}
	}
	out := make([]Hit, 0, len(scores))
	for i, score := range scores {
		p := c.paragraphs[i]
		out = append(out, Hit{fmt.Sprintf("%s@%d", p.name, snapshot), p.text, score})
	}
	slices.SortFunc(out, func(a, b Hit) int {
		if a.Score != b.Score {
			return -1 + 2*btoi(a.Score < b.Score)
		}
		return strings.Compare(a.Document, b.Document)
	})
	return out[:min(limit, len(out))]
}

// inShard reports whether paragraph i belongs to the shard of the service under
// the snapshot. About one paragraph in seven belongs to no shard of a snapshot.
func (c *Corpus) inShard(i, snapshot, service, services, shard, shards int) bool {
	h := c.paragraphs[i].hash + uint64(snapshot)*0x9e3779b97f4a7c15
	if h%7 == 0 {
		return false
	}
	return int(h>>8%uint64(services)) == service && int(h>>32%uint64(shards)) == shard
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
