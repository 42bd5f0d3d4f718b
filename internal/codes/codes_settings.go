package codes

// Settings and command line. The outcome is NotRun, because a process with invalid settings does not start.
var (
	SettingsUnreadable = define(5001, "settings-unreadable", 0, NotRun,
		"The settings file cannot be read.", "Check the path given with --config and the permissions of the file.")
	SettingsSyntax = define(5002, "settings-syntax", 0, NotRun,
		"The settings file is not valid YAML.", "Correct the line; indentation uses spaces.")
	SettingsUnknownKey = define(5003, "settings-unknown-key", 0, NotRun,
		"The key is unknown.", "Remove or correct the key; docs/configuration.md lists every key.")
	SettingsDuplicateKey = define(5004, "settings-duplicate-key", 0, NotRun,
		"The key is given twice.", "Keep one of the two lines.")
	SettingsMissingKey = define(5005, "settings-missing-key", 0, NotRun,
		"A required key is missing.", "Add the key; docs/configuration.md describes its value.")
	SettingsWrongType = define(5006, "settings-wrong-type", 0, NotRun,
		"The value has the wrong type.", "Write a value of the type given in docs/configuration.md.")
	SettingsDurationUnit = define(5007, "settings-duration-unit", 0, NotRun,
		"The duration has no unit.", "Add ms, s, m or h, as in 500ms.")
	SettingsBadDuration = define(5008, "settings-bad-duration", 0, NotRun,
		"The value is not a duration.", "Write a number and a unit, as in 500ms or 1h30m.")
	SettingsSizeUnit = define(5009, "settings-size-unit", 0, NotRun,
		"The size has no unit.", "Add B, KiB, MiB or GiB, as in 256KiB.")
	SettingsBadSize = define(5010, "settings-bad-size", 0, NotRun,
		"The value is not a size.", "Write a whole number and one of B, KiB, MiB and GiB, as in 256KiB.")
	SettingsOutOfRange = define(5011, "settings-out-of-range", 0, NotRun,
		"The value is out of range.", "Choose a value in the range given in docs/configuration.md.")
	SettingsBadAddress = define(5012, "settings-bad-address", 0, NotRun,
		"The address is malformed.", "Write an IP address and a port from 1 to 65535, as in 10.1.2.3:7001 or \"[fd00::1]:7001\".")
	SettingsAddressNotIP = define(5013, "settings-address-not-ip", 0, NotRun,
		"The address is not a single IP address.", "Write the IP address that other nodes connect to, not a host name, 0.0.0.0 or [::].")
	SettingsAddressClash = define(5014, "settings-address-clash", 0, NotRun,
		"Two keys have the same address.", "Give each listener its own port and each seed once.")
	SettingsBadChoice = define(5015, "settings-bad-choice", 0, NotRun,
		"The value is not one of the allowed values.", "Use one of the values listed in the message.")
	SettingsBadURL = define(5016, "settings-bad-url", 0, NotRun,
		"The URL is malformed.", "Write http or https, a host and a port, as in http://10.1.2.3:7100.")
	SettingsBadName = define(5017, "settings-bad-name", 0, NotRun,
		"The name is malformed.", "Use 1 to 63 ASCII letters, digits, dots, underscores and hyphens; start with a letter or digit.")
	SettingsBadSecret = define(5018, "settings-bad-secret", 0, NotRun,
		"The secret cannot be used.", "Give one secret of 16 to 1024 bytes, in secret or in secret_file.")
	SettingsBadOverride = define(5019, "settings-bad-override", 0, NotRun,
		"The --set flag is malformed.", "Write --set key=value with the dotted name of a key, as in --set timing.stop_limit=30s.")
	SettingsInconsistent = define(5020, "settings-inconsistent", 0, NotRun,
		"Two values are inconsistent.", "Change one of the two keys named in the message.")
	SettingsUnsupported = define(5021, "settings-unsupported", 0, NotRun,
		"The file uses a YAML feature that the settings do not support.", "Write plain keys and values, without anchors, aliases, tags or a second document.")
)
