package buildinfo

import "runtime/debug"

// Version returns the module version, followed by the first 12 characters of the
// VCS revision if the build recorded one. It is "unknown" without build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && len(setting.Value) >= 12 {
			return info.Main.Version + " " + setting.Value[:12]
		}
	}
	return info.Main.Version
}
