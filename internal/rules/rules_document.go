package rules

// documentRules are the rules about the document itself and its fields.
var documentRules = []Rule{
	{
		ID: FileSize, Group: groupFile,
		What: "a file over its bound",
		Why: "a file this large is a mistake or an attack, and reading it would take the memory " +
			"of requests",
		Instead: "split the catalogue into files, or routes by template",
	},
	{
		ID: FileBOM, Group: groupFile,
		What:    "a byte order mark",
		Why:     "the mark is part of the first key for some readers and not for others",
		Instead: "save the file as UTF-8 without a mark",
	},
	{
		ID: FileCRLF, Group: groupFile, Since: 2,
		What:    "lines that end with CR LF",
		Why:     "its digest differs between machines though nothing has changed",
		Instead: "end lines with LF alone",
	},
	{
		ID: FileControl, Group: groupFile,
		What:    "control characters or bytes that are not UTF-8",
		Why:     "what an editor shows is not what the program reads",
		Instead: "remove them, or write an escape in a string",
	},
	{
		ID: FileDepth, Group: groupFile,
		What:    "values nested too deep",
		Why:     "reading them would exhaust the stack",
		Instead: "nothing here nests deeper than 8 levels",
	},
	{
		ID: Syntax, Group: groupFile,
		What:    "text that is not TOML",
		Why:     "what follows the fault can't be told",
		Instead: "mend what the line says; the format is TOML 1.0",
	},
	{
		ID: Version, Group: groupFile,
		What:    "a missing, unknown or newer version",
		Why:     "a newer file may mean something else by a word that this program knows",
		Instead: "start a program that reads the file, or write the version that the file is in",
	},
	{
		ID: DoubleField, Group: groupFile,
		What:    "a field that stands twice",
		Why:     "one of the two would be ignored",
		Instead: "keep the one that is meant",
	},
	{
		ID: UnknownField, Group: groupField,
		What:    "a field that is not known",
		Why:     "a misspelt limit is no limit",
		Instead: "use the name that is meant",
	},
	{
		ID: FieldVersion, Group: groupField,
		What:    "a field of a later version of the format",
		Why:     "this version gives it no meaning",
		Instead: "run fernctl migrate",
	},
	{
		ID: WrongType, Group: groupField,
		What:    "a value of another type",
		Why:     "a guess at what is meant may be wrong",
		Instead: "write the type that is expected",
	},
	{
		ID: Range, Group: groupField,
		What:    "a number or time out of its range",
		Why:     "beyond it the figure makes no sense or breaks a bound that others rely on",
		Instead: "write a figure in the range",
	},
	{
		ID: Duration, Group: groupField,
		What:    "a time without a unit or of no known form",
		Why:     "30 may be seconds or milliseconds",
		Instead: `write a unit: "250ms", "7.5s"`,
	},
	{
		ID: Word, Group: groupField,
		What:    "a word that is none of those expected",
		Why:     "what is not known can't be carried out",
		Instead: "use one of the words",
	},
	{
		ID: Missing, Group: groupField,
		What:    "a needed field that is missing",
		Why:     "there is no default that is right for everybody",
		Instead: "add it",
	},
	{
		ID: Name, Group: groupField,
		What:    "a name that is none",
		Why:     "names stand in logs, headers and file names",
		Instead: "use 1 to 64 letters, digits and signs",
	},
	{
		ID: DoubleName, Group: groupField,
		What:    "a name that stands twice in one list",
		Why:     "records and connections are kept by name",
		Instead: "give each its own",
	},
	{
		ID: Address, Group: groupField,
		What:    "an address that is none",
		Why:     "nothing can be reached there",
		Instead: "write host:port",
	},
	{
		ID: Exclusive, Group: groupField,
		What:    "fields that exclude each other",
		Why:     "only one of them could hold",
		Instead: "keep the one that is meant",
	},
	{
		ID: TooMany, Group: groupField,
		What:    "more entries than a file may have",
		Why:     "the process could not hold them",
		Instead: "divide the application, or use prefixes and templates",
	},
}
