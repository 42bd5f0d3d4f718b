package buildinfo

import "runtime/debug"

// Version returns the module version, or the VCS revision of a local build.
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
