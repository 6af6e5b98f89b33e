package deployer

import (
	"embed"
	"encoding/json"
	"strings"
	"text/template"
)

var (
	//go:embed *.tmpl names.json
	files embed.FS

	templates = template.Must(template.New("").Funcs(template.FuncMap{
		"region": regionOf,
		"zones":  func() []string { return Zones },
	}).ParseFS(files, "*.tmpl"))

	// Names are the names of the pages.
	Names = readNames()
)

// WireNames are header fields of requests and answers, and the variable with the path of the
// settings file.
type WireNames struct {
	Attempt, Seal, Expected, NotRun, Key, Deadline, Load, Instance string
	SettingsVariable                                               string
}

func readNames() (n WireNames) {
	text, err := files.ReadFile("names.json")
	if err == nil {
		err = json.Unmarshal(text, &n)
	}
	if err != nil {
		panic(err)
	}
	return n
}

// render returns the text of a template.
func render(name string, data any) string {
	var b strings.Builder
	if err := templates.ExecuteTemplate(&b, name, data); err != nil {
		panic(err)
	}
	return b.String()
}
