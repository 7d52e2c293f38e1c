// Package docs embeds the project's documents, which the stand-in targets
// index.
package docs

import "embed"

// Files holds the documents.
//
//go:embed *.md design/*.md
var Files embed.FS
