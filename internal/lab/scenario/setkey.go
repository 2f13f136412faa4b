package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// SetKey returns a scenario's text with one key changed. The key is dotted, with indexes for elements of arrays
// (tier.0.cores); the value is written as in a file. The text is encoded anew, so line numbers in errors of its parsing
// are not those of the file.
func SetKey(text []byte, key, value string) ([]byte, error) {
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		return nil, err
	}
	var given struct{ V any }
	if err := toml.Unmarshal([]byte("V = "+value), &given); err != nil {
		return nil, fmt.Errorf("%s: %q is not a TOML value; texts need quotes", key, value)
	}
	parts := strings.Split(key, ".")
	var node any = values
	for i, part := range parts {
		last := i == len(parts)-1
		switch table := node.(type) {
		case map[string]any:
			if last {
				table[part] = given.V
				return toml.Marshal(values)
			}
			if table[part] == nil {
				table[part] = map[string]any{}
			}
			node = table[part]
		case []any:
			n, err := strconv.Atoi(part)
			if err != nil || n < 0 || n >= len(table) || last {
				return nil, fmt.Errorf("%s: %q is not the index of one of %d elements, followed by a key", key, part, len(table))
			}
			node = table[n]
		default:
			return nil, fmt.Errorf("%s: %q does not follow a table or an array of tables", key, part)
		}
	}
	return nil, fmt.Errorf("%q: no key", key)
}
