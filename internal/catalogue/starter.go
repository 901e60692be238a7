package catalogue

import (
	_ "embed" // embeds the files of the starter catalogue
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

// StarterFiles returns the files of a small initial catalogue with two services, two applications
// and two environments. The catalogue violates no rule. The caller may modify the data of the
// files.
func StarterFiles() []File {
	return []File{
		{Name: "services.toml", Data: slices.Clone(starterServices)},
		{Name: "applications.toml", Data: slices.Clone(starterApplications)},
		{Name: "environments.toml", Data: slices.Clone(starterEnvironments)},
	}
}
