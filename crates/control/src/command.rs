//! Commands and replies, and their form on the wire: one line of JSON each.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The longest line, its end included.
pub const MAX_LINE: usize = 64 << 10;
/// The longest name of an operator, a tenant or a class, in bytes.
pub const MAX_NAME: usize = 256;
/// The longest note or text, in bytes.
pub const MAX_TEXT: usize = 4 << 10;

/// An idempotency key, any bytes; hexadecimal digits on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(pub Vec<u8>);

impl From<Key> for String {
    fn from(key: Key) -> String {
        key.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl TryFrom<String> for Key {
    type Error = &'static str;
    fn try_from(text: String) -> Result<Key, &'static str> {
        let digits = text.as_bytes().chunks(2);
        let byte = |pair: &[u8]| {
            let digit = |at: usize| char::from(*pair.get(at)?).to_digit(16);
            u8::try_from(digit(0)? * 16 + digit(1)?).ok()
        };
        digits.map(byte).collect::<Option<Vec<u8>>>().map(Key).ok_or("a key stands in pairs of hex digits")
    }
}

/// What an operator may ask of a running proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case", deny_unknown_fields)]
#[non_exhaustive]
pub enum Command {
    /// Is a proxy running?
    Ping {},
    /// Whether the attempt of a key in doubt was executed.
    Resolve {
        /// The tenant; empty where there is none.
        tenant: String,
        /// The class.
        class: String,
        /// The key.
        key: Key,
        /// It was executed.
        ran: bool,
        /// Who says so.
        by: String,
        /// Why.
        note: String,
    },
    /// Prune the oldest rows.
    Prune {
        /// Those before this time, in microseconds since 1970.
        before: u64,
        /// The operator's name.
        by: String,
    },
    /// Record a correction of an earlier row.
    Correct {
        /// The row.
        of: u64,
        /// Who says so.
        by: String,
        /// What is right.
        text: String,
    },
}

/// What is wrong with a command's texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum CommandError {
    /// A field is empty.
    Empty {
        /// Its name.
        field: &'static str,
    },
    /// A field is longer than its bound.
    TooLong {
        /// Its name.
        field: &'static str,
        /// Its bound, in bytes.
        max: usize,
    },
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Empty { field } => write!(f, "{field} may not be empty"),
            CommandError::TooLong { field, max } => write!(f, "{field} is longer than {max} bytes"),
        }
    }
}

impl std::error::Error for CommandError {}

/// A text of a command, with what it has to keep to.
struct Field<'a> {
    name: &'static str,
    value: &'a str,
    max: usize,
    may_be_empty: bool,
}

impl Field<'_> {
    /// The name of an operator or a class.
    fn name<'a>(name: &'static str, value: &'a str) -> Field<'a> {
        Field { name, value, max: MAX_NAME, may_be_empty: false }
    }

    /// A note or a text.
    fn text<'a>(name: &'static str, value: &'a str) -> Field<'a> {
        Field { name, value, max: MAX_TEXT, may_be_empty: false }
    }
}

impl Command {
    /// Checks that all texts are within their bounds, and that none is empty that may not be.
    ///
    /// # Errors
    /// The first field that is wrong: an empty one before one that is too long.
    pub fn check(&self) -> Result<(), CommandError> {
        let fields = self.fields();
        let is_missing = |field: &&Field<'_>| !field.may_be_empty && field.value.trim().is_empty();
        if let Some(field) = fields.iter().find(is_missing) {
            return Err(CommandError::Empty { field: field.name });
        }
        match fields.iter().find(|field| field.value.len() > field.max) {
            Some(field) => Err(CommandError::TooLong { field: field.name, max: field.max }),
            None => Ok(()),
        }
    }

    /// Names first, then texts.
    fn fields(&self) -> Vec<Field<'_>> {
        match self {
            Command::Ping {} => Vec::new(),
            Command::Resolve { tenant, class, by, note, .. } => vec![
                Field::name("by", by),
                Field::name("class", class),
                Field { may_be_empty: true, ..Field::name("tenant", tenant) },
                Field::text("note", note),
            ],
            Command::Prune { by, .. } => vec![Field::name("by", by)],
            Command::Correct { by, text, .. } => vec![Field::name("by", by), Field::text("text", text)],
        }
    }
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", content = "said", rename_all = "snake_case")]
#[non_exhaustive]
pub enum Reply {
    /// It was done.
    Done(String),
    /// It was not done, and nothing was changed, or that is not known.
    Refused(String),
    /// The command is invalid; nothing was changed.
    Senseless(String),
}
