package explainer_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/gullvale/gullvale/internal/process/explainer"
)

// TestExplain checks the explanation of one request in the logs of each archive.
func TestExplain(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no archives", err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			is := is.New(t)
			a, err := txtar.ParseFile(name)
			is.NoErr(err)
			var l explainer.Log
			var id, want string
			for _, f := range a.Files {
				switch f.Name {
				case "id":
					id = strings.TrimSpace(string(f.Data))
				case "want":
					want = string(f.Data)
				default:
					is.NoErr(l.Read(strings.NewReader(string(f.Data)), f.Name))
				}
			}
			var got strings.Builder
			for _, x := range l.Explain(id) {
				x.Write(&got)
			}
			is.Equal(got.String(), want)
			is.Equal(len(l.Explain("nobody")), 0)
		})
	}
}
