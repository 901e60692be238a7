package catalogue

import (
	_ "embed" // for the files of the starter catalogue
	"slices"
)

// The files of StarterFiles.
var (
	//go:embed starter/services.toml
	starterServices []byte
	//go:embed starter/applications.toml
	starterApplications []byte
	//go:embed starter/environments.toml
	starterEnvironments []byte
)

// StarterFiles returns a small catalogue to begin with: two services, two applications and two
// environments. It is accepted by all rules as it stands. The caller may change the files' data.
func StarterFiles() []File {
	return []File{
		{Name: "services.toml", Data: slices.Clone(starterServices)},
		{Name: "applications.toml", Data: slices.Clone(starterApplications)},
		{Name: "environments.toml", Data: slices.Clone(starterEnvironments)},
	}
}
