//! What a schema of the file consists of, and how its values are named in messages and on the page.

/// A table of the file.
#[derive(Debug)]
pub struct SectionSchema {
    /// Its name; that of a table inside another's key is the path to it.
    pub name: &'static str,
    /// How it is written.
    pub shape: Shape,
    /// Whether the file must have one.
    pub required: bool,
    /// What it is for.
    pub meaning: &'static str,
    /// The name in `NODE_CONFIG` of all of it, where it has one.
    pub node_config_name: Option<&'static str>,
    /// Its keys.
    pub keys: &'static [KeySchema],
}

impl SectionSchema {
    /// The key of that name.
    pub fn key(&self, name: &str) -> Option<&'static KeySchema> {
        self.keys.iter().find(|k| k.name == name)
    }

    /// The header line.
    pub fn header(&self) -> String {
        match self.shape {
            Shape::Table => format!("[{}]", self.name),
            Shape::List => format!("[[{}]]", self.name),
            Shape::Inline => format!("{} = {{ ... }}", self.name),
        }
    }
}

/// How a section is written.
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
    /// Its name.
    pub name: &'static str,
    /// What values it takes.
    pub kind: ValueKind,
    /// What holds where it is absent.
    pub default: DefaultValue,
    /// When a change takes effect.
    pub takes_effect: TakesEffect,
    /// Whether it may stand in a file that adds to NODE_CONFIG.
    pub node_config: NodeConfigKey,
    /// What it means.
    pub meaning: &'static str,
}

/// What holds where a key is absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DefaultValue {
    /// It may not be absent.
    Required,
    /// This value, as the file would have it.
    Value(&'static str),
    /// Something that no constant says.
    Described(&'static str),
}

/// When a change takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    /// When the file is read again.
    Reload,
    /// When the program starts again.
    Restart,
    /// One more: when the file is read again; one less or another name: when the program starts again.
    RestartToRemove,
}

impl TakesEffect {
    /// In words.
    pub fn text(self) -> &'static str {
        match self {
            TakesEffect::Reload => "SIGHUP",
            TakesEffect::Restart => "restart",
            TakesEffect::RestartToRemove => "SIGHUP; removing or renaming one: restart",
        }
    }
}

/// Whether a key may stand in a file that adds to NODE_CONFIG.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeConfigKey {
    /// It may.
    Extends,
    /// NODE_CONFIG has this word for it.
    Named(&'static str),
    /// The platform leaves no choice.
    Fixed,
}

/// What values a key takes. Numbers in pairs are the least and the most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// A name.
    Name,
    /// A name, or empty text.
    NameOrEmpty,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// True or false.
    Flag,
    /// A whole number.
    Integer(u64, u64),
    /// A number.
    Number(f64, f64),
    /// A number above 0 and up to this.
    Positive(f64),
    /// A time, in microseconds.
    Duration(u64, u64),
    /// A size, in bytes.
    Size(u64, u64),
    /// An IP address and a port.
    Address,
    /// Up to 16 hex digits.
    Hex,
    /// A header's name.
    Header,
    /// A header's value.
    HeaderValue,
    /// Where in a request something stands.
    AttributeSource,
    /// The beginning of a path.
    Path,
    /// The path of a file, of at most so many bytes.
    FilePath(usize),
    /// A name or whole number.
    DeduplicationGroup,
    /// One name, or a list of them.
    Names,
    /// One bay, or a list of them.
    DeduplicationGroups,
    /// One method, or a list of them.
    Methods,
    /// A list of statuses and ranges of them.
    Statuses,
    /// A list of tables that each say what proves that a request was not executed.
    NotExecutedProofs,
    /// One table that names a header, or a list of them.
    HeaderMatches,
    /// A list of backends.
    Backends,
    /// A table like `[answers]`.
    ResponseRules,
}

impl ValueKind {
    /// What is expected, as it stands in messages and on the page.
    pub fn expected(&self) -> String {
        match self {
            ValueKind::Name => "a name: 1 to 64 of letters, digits, `-`, `_` and `.`".into(),
            ValueKind::NameOrEmpty => {
                "a name: 1 to 64 of letters, digits, `-`, `_` and `.`; or empty text".into()
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
            ValueKind::Header => "a header's name, such as \"X-Account\"".into(),
            ValueKind::HeaderValue => "visible ASCII characters, spaces only between them".into(),
            ValueKind::AttributeSource => "{ path = N } or { header = \"NAME\" }".into(),
            ValueKind::Path => "a path that begins with `/`, without `?`, `#`, spaces and empty parts".into(),
            ValueKind::FilePath(most) => {
                format!("the path of a file: 1 to {most} bytes, without control characters")
            }
            ValueKind::DeduplicationGroup => {
                "a whole number, or a name: 1 to 64 of letters, digits, `-`, `_` and `.`".into()
            }
            ValueKind::Names => {
                "a name or a list of names: each 1 to 64 of letters, digits, `-`, `_` and `.`".into()
            }
            ValueKind::DeduplicationGroups => "a bay (a name or a whole number) or a list of bays".into(),
            ValueKind::Methods => "a method in capitals, such as \"GET\", or a list of methods".into(),
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

    /// The unit and range in few words, for the page.
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

/// The words in quotes, with `or` before the last.
pub fn one_of(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|w| format!("\"{w}\"")).collect();
    match quoted.split_last() {
        Some((last, [])) => last.clone(),
        Some((last, rest)) => format!("{} or {last}", rest.join(", ")),
        None => String::new(),
    }
}

/// A time as the file would have it.
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

/// A size as the file would have it.
pub fn size_text(bytes: u64) -> String {
    match bytes {
        n if n >= 1 << 20 && n % (1 << 20) == 0 => format!("{}MiB", n >> 20),
        n if n >= 1 << 10 && n % (1 << 10) == 0 => format!("{}KiB", n >> 10),
        n => format!("{n}B"),
    }
}
