package rules

// documentRules are the rules about the document itself and its fields.
var documentRules = []Rule{
	{
		ID: FileSize, Group: groupFile,
		What: "a file larger than the limit",
		Why: "a file of this size is a mistake or an attack, and reading it would take memory from " +
			"requests",
		Instead: "split the catalogue into several files, or replace routes by templates",
	},
	{
		ID: FileBOM, Group: groupFile,
		What:    "a byte order mark",
		Why:     "some readers take the mark as part of the first key",
		Instead: "save the file as UTF-8 without a byte order mark",
	},
	{
		ID: FileCRLF, Group: groupFile, Since: 2,
		What:    "lines that end with CR LF",
		Why:     "the digest would differ between machines although the content is the same",
		Instead: "end lines with LF",
	},
	{
		ID: FileControl, Group: groupFile,
		What:    "control characters or bytes that are not valid UTF-8",
		Why:     "an editor would show something else than the program reads",
		Instead: "remove them, or use an escape sequence in a string",
	},
	{
		ID: FileDepth, Group: groupFile,
		What:    "values that are nested too deeply",
		Why:     "parsing them would exhaust the stack",
		Instead: "nest values at most 8 levels deep, which is enough for all fields",
	},
	{
		ID: Syntax, Group: groupFile,
		What:    "text that is not valid TOML",
		Why:     "the text after a syntax error can't be interpreted",
		Instead: "correct the syntax; the format is TOML 1.0",
	},
	{
		ID: Version, Group: groupFile,
		What:    "a missing, unknown or newer version",
		Why:     "a newer version may give a known field another meaning",
		Instead: "use a program that supports the version, or state the version of the file",
	},
	{
		ID: DoubleField, Group: groupFile,
		What:    "a field that is defined twice",
		Why:     "one of the two values would be ignored",
		Instead: "remove one of the two",
	},
	{
		ID: UnknownField, Group: groupField,
		What:    "an unknown field",
		Why:     "a limit under a misspelt name would not apply",
		Instead: "correct the name",
	},
	{
		ID: FieldVersion, Group: groupField,
		What:    "a field of a later version of the format",
		Why:     "the field has no meaning in this version",
		Instead: "run fernctl migrate",
	},
	{
		ID: WrongType, Group: groupField,
		What:    "a value of the wrong type",
		Why:     "a conversion could change the intended value",
		Instead: "write a value of the required type",
	},
	{
		ID: Range, Group: groupField,
		What:    "a number or duration out of range",
		Why:     "a value out of range has no effect or breaks a limit that other settings rely on",
		Instead: "write a value within the range",
	},
	{
		ID: Duration, Group: groupField,
		What:    "a duration without a unit or in an unknown form",
		Why:     "30 may mean seconds or milliseconds",
		Instead: `write a duration with a unit, such as "250ms" or "7.5s"`,
	},
	{
		ID: Word, Group: groupField,
		What:    "a word that is not one of the allowed words",
		Why:     "an unknown word has no meaning",
		Instead: "use one of the allowed words",
	},
	{
		ID: Missing, Group: groupField,
		What:    "a missing required field",
		Why:     "no default is right for every application",
		Instead: "add the field",
	},
	{
		ID: Name, Group: groupField,
		What:    "an invalid name",
		Why:     "names are used in logs, headers and file names",
		Instead: "use a token of 1 to 64 characters (RFC 9110): letters, digits and signs",
	},
	{
		ID: DoubleName, Group: groupField,
		What:    "a name that is used twice in a list",
		Why:     "state and connections are kept by name",
		Instead: "use unique names",
	},
	{
		ID: Address, Group: groupField,
		What:    "an invalid address",
		Why:     "connections to it would fail",
		Instead: "write host:port",
	},
	{
		ID: Exclusive, Group: groupField,
		What:    "mutually exclusive fields",
		Why:     "only one of them could apply",
		Instead: "keep one of them",
	},
	{
		ID: TooMany, Group: groupField,
		What:    "more entries than the limit",
		Why:     "they would exhaust the memory of the process",
		Instead: "split the application, or use prefixes and templates",
	},
}
