//! Commands and replies, and their wire format: one line of JSON each.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum length of a line in bytes, including the line feed.
pub const MAX_LINE: usize = 64 << 10;
/// Maximum length of the name of an operator, a tenant or a class, in bytes.
pub const MAX_NAME: usize = 256;
/// Maximum length of a note or a text, in bytes.
pub const MAX_TEXT: usize = 4 << 10;

/// An idempotency key of arbitrary bytes, encoded as hexadecimal digits on the wire.
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
        digits.map(byte).collect::<Option<Vec<u8>>>().map(Key).ok_or("a key must be pairs of hex digits")
    }
}

/// A command from an operator to a running proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case", deny_unknown_fields)]
#[non_exhaustive]
pub enum Command {
    /// Checks that a proxy is running.
    Ping {},
    /// Resolves a key in doubt by stating whether its attempt was executed.
    Resolve {
        /// The tenant; empty if there is none.
        tenant: String,
        /// The class.
        class: String,
        /// The key.
        key: Key,
        /// Whether the attempt was executed.
        ran: bool,
        /// The operator's name.
        by: String,
        /// The reason for the decision.
        note: String,
    },
    /// Prunes the oldest rows.
    Prune {
        /// Rows before this time are pruned; in microseconds since 1970.
        before: u64,
        /// The operator's name.
        by: String,
    },
    /// Records a correction of an earlier row.
    Correct {
        /// The sequence number of the corrected row.
        of: u64,
        /// The operator's name.
        by: String,
        /// The correction.
        text: String,
    },
}

/// An invalid text field of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum CommandError {
    /// A field is empty.
    Empty {
        /// The name of the field.
        field: &'static str,
    },
    /// A field is longer than its maximum.
    TooLong {
        /// The name of the field.
        field: &'static str,
        /// Its maximum length in bytes.
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

/// A text field of a command, with its constraints.
struct Field<'a> {
    name: &'static str,
    value: &'a str,
    max: usize,
    may_be_empty: bool,
}

impl Field<'_> {
    /// Creates a field for the name of an operator or a class.
    fn name<'a>(name: &'static str, value: &'a str) -> Field<'a> {
        Field { name, value, max: MAX_NAME, may_be_empty: false }
    }

    /// Creates a field for a note or a text.
    fn text<'a>(name: &'static str, value: &'a str) -> Field<'a> {
        Field { name, value, max: MAX_TEXT, may_be_empty: false }
    }
}

impl Command {
    /// Checks that no text field exceeds its maximum length and that no required field is empty.
    ///
    /// # Errors
    /// Returns the first empty field, or else the first field that is too long.
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

    /// Returns the text fields of the command: names first, then notes and texts.
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

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", content = "said", rename_all = "snake_case")]
#[non_exhaustive]
pub enum Reply {
    /// The command was carried out.
    Done(String),
    /// The command was not carried out and nothing was changed, or its outcome is unknown.
    Refused(String),
    /// The command is invalid and nothing was changed.
    Senseless(String),
}
