//! Reads single values of the settings and keeps the path of each for errors.

use super::error::SettingsError;
use serde_json::Value;
use shaletide_balancer::Micros;

/// 2^53: up to this value a float represents every whole number exactly.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// A value of the settings, with the path that led to it.
pub(super) struct Setting<'a> {
    path: String,
    value: Option<&'a Value>,
}

impl<'a> Setting<'a> {
    /// Creates the value of the whole settings.
    pub fn root(settings: &'a Value) -> Setting<'a> {
        Setting { path: String::new(), value: Some(settings) }
    }

    /// Returns the path as it appears in errors.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns whether the value is present.
    pub fn is_present(&self) -> bool {
        self.value.is_some()
    }

    /// Returns the member of that name. Null counts as absent, as on the platform.
    pub fn get(&self, name: &str) -> Setting<'a> {
        let path = if self.path.is_empty() { name.into() } else { format!("{}.{name}", self.path) };
        Setting { path, value: self.value.and_then(|value| value.get(name)).filter(|value| !value.is_null()) }
    }

    /// Returns the items of a required list.
    pub fn list(&self) -> Result<Vec<Setting<'a>>, SettingsError> {
        let items = self.require(self.value.and_then(Value::as_array), "an array")?;
        let item = |(number, value)| Setting { path: format!("{}[{number}]", self.path), value: Some(value) };
        Ok(items.iter().enumerate().map(item).collect())
    }

    /// Returns the items of a list; none if it is absent.
    pub fn optional_list(&self) -> Result<Vec<Setting<'a>>, SettingsError> {
        if self.is_present() {
            self.list()
        } else {
            Ok(Vec::new())
        }
    }

    /// Returns the value if it is a text.
    pub fn as_text(&self) -> Option<&'a str> {
        self.value.and_then(Value::as_str)
    }

    pub fn text(&self) -> Result<&'a str, SettingsError> {
        self.require(self.as_text(), "text")
    }

    pub fn flag(&self) -> Result<bool, SettingsError> {
        self.require(self.value.and_then(Value::as_bool), "true or false")
    }

    /// Returns a whole number of at least 0.
    pub fn count(&self) -> Result<u32, SettingsError> {
        self.require(self.integer().and_then(|number| u32::try_from(number).ok()), "a whole number")
    }

    /// Returns a whole number of at least 1.
    pub fn positive_count(&self) -> Result<u32, SettingsError> {
        self.require_range(self.count()?, |number| number > 0, "a whole number, at least 1")
    }

    /// Returns a time of at least 0 microseconds.
    pub fn micros(&self) -> Result<Micros, SettingsError> {
        self.require(self.integer(), "whole microseconds").map(Micros)
    }

    /// Returns a time of at least 1 microsecond.
    pub fn positive_micros(&self) -> Result<Micros, SettingsError> {
        self.require_range(self.micros()?, |time| time.0 > 0, "whole microseconds, at least 1")
    }

    /// Returns a number from 0 to 1.
    pub fn fraction(&self) -> Result<f64, SettingsError> {
        self.require_range(self.number()?, |x| (0.0..=1.0).contains(&x), "a number from 0 to 1")
    }

    /// Returns a finite number above 0.
    pub fn positive(&self) -> Result<f64, SettingsError> {
        self.require_range(self.number()?, |x| x > 0.0 && x.is_finite(), "a finite number above 0")
    }

    /// Returns a number of at least 0.
    pub fn non_negative(&self) -> Result<f64, SettingsError> {
        self.require_range(self.number()?, |x| x >= 0.0, "a number of at least 0")
    }

    /// Returns a finite number of at least 0.
    pub fn finite_non_negative(&self) -> Result<f64, SettingsError> {
        self.require_range(self.number()?, |x| x >= 0.0 && x.is_finite(), "a finite number of at least 0")
    }

    fn number(&self) -> Result<f64, SettingsError> {
        self.require(self.value.and_then(Value::as_f64), "a number")
    }

    /// Returns a whole number of at least 0, also if written as a float: JSON does not distinguish 5 from 5.0.
    fn integer(&self) -> Option<u64> {
        let value = self.value?;
        if let Some(integer) = value.as_u64() {
            return Some(integer);
        }
        let number = value.as_f64()?;
        let is_integer = number.fract() == 0.0 && (0.0..=MAX_EXACT_INTEGER).contains(&number);
        is_integer.then_some(number as u64)
    }

    pub fn require_range<T: Copy>(
        &self, value: T, fits: impl Fn(T) -> bool, expected: &str,
    ) -> Result<T, SettingsError> {
        self.require(Some(value).filter(|value| fits(*value)), expected)
    }

    /// Returns the value, or the error that describes the expected value if there is none.
    pub fn require<T>(&self, read: Option<T>, expected: &str) -> Result<T, SettingsError> {
        read.ok_or_else(|| self.unexpected(expected))
    }

    /// Returns the error that describes the expected value.
    pub fn unexpected(&self, expected: &str) -> SettingsError {
        let path = self.path.clone();
        let expected = expected.to_string();
        match self.value {
            Some(value) => SettingsError::Unexpected { path, expected, found: value.clone() },
            None => SettingsError::Missing { path, expected },
        }
    }
}
