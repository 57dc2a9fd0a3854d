//! The types of the schema, and the descriptions of values in messages and on the operators' page.

/// A table of the file.
#[derive(Debug)]
pub struct SectionSchema {
    /// Name of the section; for an inline table, the path to its key.
    pub name: &'static str,
    /// Syntax of the section.
    pub shape: Shape,
    /// Whether the file must have at least one.
    pub required: bool,
    /// Description of the section on the page.
    pub meaning: &'static str,
    /// Name of the whole section in `NODE_CONFIG`, if it has one.
    pub node_config_name: Option<&'static str>,
    /// Keys of the section.
    pub keys: &'static [KeySchema],
}

impl SectionSchema {
    /// Returns the key of that name.
    pub fn key(&self, name: &str) -> Option<&'static KeySchema> {
        self.keys.iter().find(|k| k.name == name)
    }

    /// Returns the header line.
    pub fn header(&self) -> String {
        match self.shape {
            Shape::Table => format!("[{}]", self.name),
            Shape::List => format!("[[{}]]", self.name),
            Shape::Inline => format!("{} = {{ ... }}", self.name),
        }
    }
}

/// The syntax of a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// `[name]`, once.
    Table,
    /// `[[name]]`, any number of times.
    List,
    /// `{ ... }`, as the value of a key.
    Inline,
}

/// A key of a section.
#[derive(Debug)]
pub struct KeySchema {
    /// Name of the key.
    pub name: &'static str,
    /// Kind of values that it takes.
    pub kind: ValueKind,
    /// Default if the key is absent.
    pub default: DefaultValue,
    /// Event at which a change takes effect.
    pub takes_effect: TakesEffect,
    /// Whether the key is allowed in a file that extends NODE_CONFIG.
    pub node_config: NodeConfigKey,
    /// Description of the key on the page.
    pub meaning: &'static str,
}

/// The default of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DefaultValue {
    /// The key is required.
    Required,
    /// A constant, in the syntax of the file.
    Value(&'static str),
    /// A default that is not a constant, described in words.
    Described(&'static str),
}

/// The event at which a change of a key takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    /// At the next reload of the file.
    Reload,
    /// At the next start of the program.
    Restart,
    /// An added item takes effect at the next reload, a removed or renamed one at the next start.
    RestartToRemove,
}

impl TakesEffect {
    /// Returns the text for the page.
    pub fn text(self) -> &'static str {
        match self {
            TakesEffect::Reload => "SIGHUP",
            TakesEffect::Restart => "restart",
            TakesEffect::RestartToRemove => "SIGHUP; removing or renaming one: restart",
        }
    }
}

/// Whether a key is allowed in a file that extends NODE_CONFIG.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeConfigKey {
    /// The key is allowed.
    Extends,
    /// Not allowed: NODE_CONFIG sets the key under this name.
    Named(&'static str),
    /// Not allowed: the platform fixes the value.
    Fixed,
}

/// The kind of values that a key takes. Pairs of numbers are the minimum and the maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// A name.
    Name,
    /// A name, or empty text.
    NameOrEmpty,
    /// One of a set of words.
    Choice(&'static [&'static str]),
    /// True or false.
    Flag,
    /// A whole number.
    Integer(u64, u64),
    /// A number.
    Number(f64, f64),
    /// A number above 0, up to the given maximum.
    Positive(f64),
    /// A time; the range is in microseconds.
    Duration(u64, u64),
    /// A size; the range is in bytes.
    Size(u64, u64),
    /// An IP address and a port.
    Address,
    /// Up to 16 hex digits.
    Hex,
    /// A header name.
    Header,
    /// A header value.
    HeaderValue,
    /// The part of a request that carries an attribute.
    AttributeSource,
    /// A path prefix.
    Path,
    /// The path of a file, with its maximum length in bytes.
    FilePath(usize),
    /// A name or whole number.
    DeduplicationGroup,
    /// A name or a list of names.
    Names,
    /// A deduplication group (a bay in the file) or a list of them.
    DeduplicationGroups,
    /// A method or a list of methods.
    Methods,
    /// A list of statuses and ranges of statuses.
    Statuses,
    /// A list of tables, each of a response that proves that a request was not executed.
    NotExecutedProofs,
    /// A table that describes a header, or a list of such tables.
    HeaderMatches,
    /// A list of backends.
    Backends,
    /// A table like `[answers]`.
    ResponseRules,
}

impl ValueKind {
    /// Returns the description of the expected value for messages and for the page.
    pub fn expected(&self) -> String {
        match self {
            ValueKind::Name => "a name of 1 to 64 letters, digits, `-`, `_` and `.`".into(),
            ValueKind::NameOrEmpty => {
                "a name of 1 to 64 letters, digits, `-`, `_` and `.`, or empty text".into()
            }
            ValueKind::Choice(words) => one_of(words),
            ValueKind::Flag => "true or false".into(),
            ValueKind::Integer(least, most) => format!("a whole number from {least} to {most}"),
            ValueKind::Number(least, most) => format!("a number from {least} to {most}"),
            ValueKind::Positive(most) => format!("a number above 0, up to {most}"),
            ValueKind::Duration(least, most) => {
                format!(
                    "a time from {} to {}, such as \"400ms\" or \"1.2s\"",
                    duration_text(*least),
                    duration_text(*most)
                )
            }
            ValueKind::Size(least, most) => {
                format!("a size from {} to {}, such as \"16KiB\"", size_text(*least), size_text(*most))
            }
            ValueKind::Address => {
                "an IP address and a port, such as \"127.0.0.1:8080\" or \"[::1]:8080\"".into()
            }
            ValueKind::Hex => "up to 16 hex digits in quotes, such as \"8c1f30d27a5be964\"".into(),
            ValueKind::Header => "a header name, such as \"X-Account\"".into(),
            ValueKind::HeaderValue => "visible ASCII characters, with spaces only between them".into(),
            ValueKind::AttributeSource => "{ path = N } or { header = \"NAME\" }".into(),
            ValueKind::Path => "a path that begins with `/`, without `?`, `#`, spaces or empty parts".into(),
            ValueKind::FilePath(most) => {
                format!("the path of a file: 1 to {most} bytes, without control characters")
            }
            ValueKind::DeduplicationGroup => {
                "a whole number, or a name of 1 to 64 letters, digits, `-`, `_` and `.`".into()
            }
            ValueKind::Names => {
                "a name or a list of names, each of 1 to 64 letters, digits, `-`, `_` and `.`".into()
            }
            ValueKind::DeduplicationGroups => "a bay (a name or a whole number) or a list of bays".into(),
            ValueKind::Methods => "a method in capital letters, such as \"GET\", or a list of methods".into(),
            ValueKind::Statuses => {
                "a list of statuses from 200 to 599 and ranges, such as [\"200-299\", 404]".into()
            }
            ValueKind::NotExecutedProofs => {
                "a list such as [{ status = 503, header = \"X-Unprocessed\", value = \"1\" }]".into()
            }
            ValueKind::HeaderMatches => "{ name = \"X-Kind\", value = \"eu\" } or a list of these".into(),
            ValueKind::Backends => {
                "a list of addresses and of tables such as { address = \"127.0.0.1:9001\" }".into()
            }
            ValueKind::ResponseRules => "a table such as { served = [\"200-299\"] }".into(),
        }
    }

    /// Returns a short description for the page.
    pub fn short(&self) -> String {
        match self {
            ValueKind::Name => "a name".into(),
            ValueKind::NameOrEmpty => "a name or empty text".into(),
            ValueKind::Duration(least, most) => {
                format!("a time from {} to {}", duration_text(*least), duration_text(*most))
            }
            ValueKind::Size(least, most) => {
                format!("a size from {} to {}", size_text(*least), size_text(*most))
            }
            ValueKind::Address => "an IP address and a port".into(),
            ValueKind::FilePath(_) => "the path of a file".into(),
            ValueKind::DeduplicationGroup => "a name or a whole number".into(),
            ValueKind::Names => "a name or a list of names".into(),
            other => other.expected(),
        }
    }
}

/// Returns the words in quotes, with `or` before the last.
pub fn one_of(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|w| format!("\"{w}\"")).collect();
    match quoted.split_last() {
        Some((last, [])) => last.clone(),
        Some((last, rest)) => format!("{} or {last}", rest.join(", ")),
        None => String::new(),
    }
}

/// Formats a time in the syntax of the file.
pub fn duration_text(micros: u64) -> String {
    match micros {
        0 => "0s".into(),
        n if n > 86_400_000_000 && n % 86_400_000_000 == 0 => format!("{}d", n / 86_400_000_000),
        n if n % 3_600_000_000 == 0 => format!("{}h", n / 3_600_000_000),
        n if n % 60_000_000 == 0 => format!("{}min", n / 60_000_000),
        n if n % 1_000_000 == 0 => format!("{}s", n / 1_000_000),
        n if n % 1_000 == 0 => format!("{}ms", n / 1_000),
        n => format!("{n}us"),
    }
}

/// Formats a size in the syntax of the file.
pub fn size_text(bytes: u64) -> String {
    match bytes {
        n if n >= 1 << 20 && n % (1 << 20) == 0 => format!("{}MiB", n >> 20),
        n if n >= 1 << 10 && n % (1 << 10) == 0 => format!("{}KiB", n >> 10),
        n => format!("{n}B"),
    }
}
