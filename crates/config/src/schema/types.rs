//! What a schema of the file consists of, and how its values are named in messages and on the page.

/// A table of the file.
#[derive(Debug)]
pub struct Section {
    /// Its name; that of a table inside another's key is the path to it.
    pub name: &'static str,
    /// How it is written.
    pub shape: Shape,
    /// Whether the file must have one.
    pub required: bool,
    /// What it is for.
    pub meaning: &'static str,
    /// Where the platform has a word for all of it: that word.
    pub platform: Option<&'static str>,
    /// Its keys.
    pub keys: &'static [Key],
}

impl Section {
    /// The key of that name.
    pub fn key(&self, name: &str) -> Option<&'static Key> {
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
pub struct Key {
    /// Its name.
    pub name: &'static str,
    /// What values it takes.
    pub kind: Kind,
    /// What holds where it is absent.
    pub default: Default,
    /// When a change takes effect.
    pub when: When,
    /// Whether it may stand in a file that adds to NODE_CONFIG.
    pub platform: Platform,
    /// What it means.
    pub meaning: &'static str,
}

/// What holds where a key is absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Default {
    /// It may not be absent.
    Must,
    /// This value, as the file would have it.
    Is(&'static str),
    /// Something that no constant says.
    Else(&'static str),
}

/// When a change takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// When the file is read again.
    Reload,
    /// When the program starts again.
    Restart,
    /// One more: when the file is read again; one less or another name: when the program starts again.
    Added,
}

impl When {
    /// In words.
    pub fn text(self) -> &'static str {
        match self {
            When::Reload => "SIGHUP",
            When::Restart => "restart",
            When::Added => "SIGHUP; removing or renaming one: restart",
        }
    }
}

/// Whether a key may stand in a file that adds to NODE_CONFIG.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Platform {
    /// It may.
    Adds,
    /// NODE_CONFIG has this word for it.
    Says(&'static str),
    /// The platform leaves no choice.
    Fixed,
}

/// What values a key takes. Numbers in pairs are the least and the most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A name.
    Name,
    /// A name, or empty text.
    NameOrEmpty,
    /// One of these words.
    Word(&'static [&'static str]),
    /// True or false.
    Flag,
    /// A whole number.
    Count(u64, u64),
    /// A number.
    Number(f64, f64),
    /// A number above 0 and up to this.
    Positive(f64),
    /// A time, in microseconds.
    Span(u64, u64),
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
    Place,
    /// The beginning of a path.
    Path,
    /// The path of a file, of at most so many bytes.
    File(usize),
    /// A name or whole number.
    Bay,
    /// One name, or a list of them.
    Names,
    /// One bay, or a list of them.
    Bays,
    /// One method, or a list of them.
    Methods,
    /// A list of statuses and ranges of them.
    Statuses,
    /// A list of tables that each say what proves that a request was not executed.
    Proofs,
    /// One table that names a header, or a list of them.
    Headers,
    /// A list of backends.
    Boxes,
    /// A table like `[answers]`.
    Answers,
}

impl Kind {
    /// What is expected, as it stands in messages and on the page.
    pub fn expected(&self) -> String {
        match self {
            Kind::Name => "a name: 1 to 64 of letters, digits, `-`, `_` and `.`".into(),
            Kind::NameOrEmpty => "a name: 1 to 64 of letters, digits, `-`, `_` and `.`; or empty text".into(),
            Kind::Word(words) => one_of(words),
            Kind::Flag => "true or false".into(),
            Kind::Count(least, most) => format!("a whole number from {least} to {most}"),
            Kind::Number(least, most) => format!("a number from {least} to {most}"),
            Kind::Positive(most) => format!("a number above 0, up to {most}"),
            Kind::Span(least, most) => {
                format!("a time from {} to {}, such as \"400ms\" or \"1.2s\"", span(*least), span(*most))
            }
            Kind::Size(least, most) => {
                format!("a size from {} to {}, such as \"16KiB\"", size(*least), size(*most))
            }
            Kind::Address => "an IP address and a port, such as \"127.0.0.1:8080\" or \"[::1]:8080\"".into(),
            Kind::Hex => "up to 16 hex digits in quotes, such as \"8c1f30d27a5be964\"".into(),
            Kind::Header => "a header's name, such as \"X-Account\"".into(),
            Kind::HeaderValue => "visible ASCII characters, spaces only between them".into(),
            Kind::Place => "{ path = N } or { header = \"NAME\" }".into(),
            Kind::Path => "a path that begins with `/`, without `?`, `#`, spaces and empty parts".into(),
            Kind::File(most) => format!("the path of a file: 1 to {most} bytes, without control characters"),
            Kind::Bay => "a whole number, or a name: 1 to 64 of letters, digits, `-`, `_` and `.`".into(),
            Kind::Names => {
                "a name or a list of names: each 1 to 64 of letters, digits, `-`, `_` and `.`".into()
            }
            Kind::Bays => "a bay (a name or a whole number) or a list of bays".into(),
            Kind::Methods => "a method in capitals, such as \"GET\", or a list of methods".into(),
            Kind::Statuses => {
                "a list of statuses from 200 to 599 and ranges, such as [\"200-299\", 404]".into()
            }
            Kind::Proofs => {
                "a list such as [{ status = 503, header = \"X-Unprocessed\", value = \"1\" }]".into()
            }
            Kind::Headers => "{ name = \"X-Kind\", value = \"eu\" } or a list of these".into(),
            Kind::Boxes => {
                "a list of addresses and of tables such as { address = \"127.0.0.1:9001\" }".into()
            }
            Kind::Answers => "a table such as { served = [\"200-299\"] }".into(),
        }
    }

    /// The unit and range in few words, for the page.
    pub fn short(&self) -> String {
        match self {
            Kind::Name => "a name".into(),
            Kind::NameOrEmpty => "a name or empty text".into(),
            Kind::Span(least, most) => format!("a time from {} to {}", span(*least), span(*most)),
            Kind::Size(least, most) => format!("a size from {} to {}", size(*least), size(*most)),
            Kind::Address => "an IP address and a port".into(),
            Kind::File(_) => "the path of a file".into(),
            Kind::Bay => "a name or a whole number".into(),
            Kind::Names => "a name or a list of names".into(),
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
pub fn span(micros: u64) -> String {
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
pub fn size(bytes: u64) -> String {
    match bytes {
        n if n >= 1 << 20 && n % (1 << 20) == 0 => format!("{}MiB", n >> 20),
        n if n >= 1 << 10 && n % (1 << 10) == 0 => format!("{}KiB", n >> 10),
        n => format!("{n}B"),
    }
}
