// Package operator reads the operator's file: the settings of the people who run heathgap, for their own installation.
// All of them are off or neutral by default, so that a sidecar without the file behaves as it did before there was one.
// Each subsystem has its own table; deploy/operator.toml documents every key.
package operator

import (
	"fmt"
	"os"

	"github.com/rs/zerolog"
	"github.com/valyala/fastjson"

	"heathgap/decide"
	"heathgap/internal/settings"
	"heathgap/internal/tomlread"
)

// Limits of log sampling.
const (
	everyLine         = 1
	maxSampleInterval = 1_000_000 // one of so many lines is written; still fewer would show nothing
)

// File is the content of the operator's file.
type File struct {
	Log     Log
	Shadow  Shadow
	Cluster *Cluster // nil for a sidecar outside any cluster
}

// Shadow is the table [watch].
type Shadow struct {
	// Settings are those of the shadow balancer, whose decisions are compared with the real ones; nil for no shadow.
	Settings *decide.Settings
}

// Log is the table [log].
type Log struct {
	Level zerolog.Level
	// ConnectionEnded is the sampling of the lines "connection ended" of level info: one of so many is written.
	// Warnings are always written.
	ConnectionEnded int
}

// Default returns the values that apply without a file.
func Default() File {
	return File{Log: Log{Level: zerolog.InfoLevel, ConnectionEnded: everyLine}}
}

// EnvFile is the environment variable that names the operator's file to a sidecar; "heathgap serve --operator" sets it.
const EnvFile = "HEATHGAP_OPERATOR"

// FromEnv loads the file that the environment names, or returns the defaults if it names none.
func FromEnv(env func(string) string) (File, error) {
	if path := env(EnvFile); path != "" {
		return Load(path)
	}
	return Default(), nil
}

// Load reads and checks a file. Its error reports all that is wrong, one fault per line.
func Load(path string) (File, error) {
	doc, err := tomlread.Load(path)
	if err != nil {
		return File{}, err
	}
	return decode(doc)
}

// levels are the allowed log levels: there are no lines below info, and errors are always written.
var levels = map[string]zerolog.Level{
	"info": zerolog.InfoLevel, "warn": zerolog.WarnLevel, "error": zerolog.ErrorLevel,
}

func decode(doc *tomlread.Doc) (File, error) {
	f := Default()
	log := doc.Root.Table("log")
	f.Log.Level = levels[log.Enum("level", "info", "info", "warn", "error")]
	f.Log.ConnectionEnded = log.Int("connection_ended_every", everyLine, everyLine, maxSampleInterval)
	watch := doc.Root.Table("watch")
	if path := watch.Text("settings", ""); path != "" {
		set, err := loadShadowSettings(path)
		if err != nil {
			watch.Fail("settings", fmt.Sprintf("%q: %v", path, err), "the path of a JSON file that holds a settings object")
		}
		f.Shadow.Settings = set
	}
	doc.Root.MarkKnown("crew", "holdings") // optional tables, read below
	if doc.Root.Has("crew") {
		f.Cluster = decodeCluster(doc.Root.Table("crew"))
	}
	switch {
	case !doc.Root.Has("holdings"):
	case f.Cluster == nil:
		doc.Root.Fail("holdings", "a table, but there is no table [crew]", "[holdings] beside [crew]: a crew's sidecars hold for one another")
	default:
		decodeHoldings(doc.Root.Table("holdings"), f.Cluster)
	}
	if err := doc.Err(); err != nil {
		return File{}, err
	}
	return f, nil
}

// loadShadowSettings reads and checks the settings of the shadow: a JSON file with the object that stands under
// "settings" in a sidecar's configuration.
func loadShadowSettings(path string) (*decide.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("malformed JSON: %w", err)
	}
	set, _, err := settings.Decode(v)
	if err != nil {
		return nil, err
	}
	if _, err := decide.New(set, 0); err != nil {
		return nil, err
	}
	return &set, nil
}
