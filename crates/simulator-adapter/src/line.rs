//! One input line from the simulator: a message and its values.

use crate::error::WireError;
use crate::messages::{outcome, Message};
use serde_json::Value;
use shaletide_balancer::{Outcome, RequestId};

/// A message and its values, whose number has been checked.
pub struct Line<'a> {
    pub message: Message,
    name: &'a str,
    values: &'a [Value],
}

impl<'a> Line<'a> {
    /// Parses the message from the line's array.
    ///
    /// # Errors
    /// The line is not an array, or has an unknown message or the wrong number of values.
    pub fn new(line: &'a Value) -> Result<Line<'a>, WireError> {
        let items = line.as_array().ok_or(WireError::NotAnArray)?;
        let name = items.first().and_then(Value::as_str).ok_or(WireError::NoName)?;
        let (message, arity) =
            Message::named(name).ok_or_else(|| WireError::UnknownMessage(name.to_string()))?;
        let values = &items[1..];
        if values.len() != arity {
            return Err(WireError::Arity { message: name.into(), expected: arity, got: values.len() });
        }
        Ok(Line { message, name, values })
    }

    /// Returns the error for a message outside of a batch.
    pub fn outside_batch(&self) -> WireError {
        WireError::OutsideBatch { message: self.name.into() }
    }

    /// Returns the error for the value at `index`, counted from 0.
    pub fn error(&self, index: usize, expected: &str) -> WireError {
        WireError::Value {
            message: self.name.into(),
            index,
            expected: expected.into(),
            got: self.value(index).clone(),
        }
    }

    pub fn value(&self, index: usize) -> &'a Value {
        self.values.get(index).unwrap_or(&Value::Null)
    }

    pub fn text(&self, index: usize, expected: &str) -> Result<&'a str, WireError> {
        self.value(index).as_str().ok_or_else(|| self.error(index, expected))
    }

    /// Returns the value as a whole number of at least 0.
    pub fn integer(&self, index: usize, expected: &str) -> Result<u64, WireError> {
        self.value(index).as_u64().ok_or_else(|| self.error(index, expected))
    }

    pub fn flag(&self, index: usize, expected: &str) -> Result<bool, WireError> {
        self.value(index).as_bool().ok_or_else(|| self.error(index, expected))
    }

    pub fn request_id(&self, index: usize) -> Result<RequestId, WireError> {
        let text = self.text(index, "a request id of 16 hex digits")?;
        let is_plain = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let id = if is_plain { u64::from_str_radix(text, 16).ok() } else { None };
        id.map(RequestId).ok_or_else(|| self.error(index, "a request id of 16 lower-case hex digits"))
    }

    pub fn outcome(&self, index: usize) -> Result<Outcome, WireError> {
        let expected = "an outcome code from 0 to 7";
        outcome(self.integer(index, expected)?).ok_or_else(|| self.error(index, expected))
    }
}
