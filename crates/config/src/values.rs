//! Parses single values of the file and checks their type, form and range. An error describes the value that was found;
//! the description of the expected value comes from the schema.

use crate::diagnostics::quoted;
use crate::schema::ValueKind;
use shaletide_balancer::Micros;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::de::DeValue;

/// A parsed value, or the description of the invalid value for a message.
pub(crate) type Parsed<T> = Result<T, String>;

/// Returns the name of a value's type for messages.
pub(crate) fn describe(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date or time of day",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}

fn wrong_type<T>(value: &DeValue<'_>) -> Parsed<T> {
    Err(format!("{} is not allowed here", describe(value)))
}

fn out_of_range<T>(shown: &str) -> Parsed<T> {
    Err(format!("{} is out of range", quoted(shown)))
}

pub(crate) fn text<'v>(value: &'v DeValue<'_>) -> Parsed<&'v str> {
    value.as_str().map_or_else(|| wrong_type(value), Ok)
}

pub(crate) fn flag(_: &ValueKind, value: &DeValue<'_>) -> Parsed<bool> {
    value.as_bool().map_or_else(|| wrong_type(value), Ok)
}

pub(crate) fn integer(kind: &ValueKind, value: &DeValue<'_>) -> Parsed<u64> {
    let ValueKind::Integer(least, most) = kind else {
        unreachable!("the schema has {kind:?} for a whole number")
    };
    let Some(whole) = value.as_integer() else { return wrong_type(value) };
    let number = u64::from_str_radix(whole.as_str(), whole.radix()).ok();
    let number = number.filter(|n| (least..=most).contains(&n));
    number.map_or_else(|| out_of_range(&whole.to_string()), Ok)
}

pub(crate) fn number(kind: &ValueKind, value: &DeValue<'_>) -> Parsed<f64> {
    let (shown, number) = match value {
        DeValue::Float(float) => (float.to_string(), float.as_str().parse::<f64>().ok()),
        DeValue::Integer(whole) => {
            let number = i64::from_str_radix(whole.as_str(), whole.radix()).ok();
            (whole.to_string(), number.map(|n| n as f64))
        }
        _ => return wrong_type(value),
    };
    let fits = |n: &f64| match kind {
        ValueKind::Number(least, most) => (*least..=*most).contains(n),
        ValueKind::Positive(most) => *n > 0.0 && n <= most,
        _ => unreachable!("the schema has {kind:?} for a number"),
    };
    number.filter(fits).map_or_else(|| out_of_range(&shown), Ok)
}

pub(crate) fn duration(kind: &ValueKind, value: &DeValue<'_>) -> Parsed<Micros> {
    let ValueKind::Duration(least, most) = kind else { unreachable!("the schema has {kind:?} for a time") };
    let text = match value {
        DeValue::Integer(_) | DeValue::Float(_) => {
            return Err("a time has a unit and is written in quotes".into())
        }
        _ => text(value)?,
    };
    let invalid = || Err(format!("{} is not a valid time", quoted(text)));
    // The library takes a month or a year as its average length. Only `record.keep` has a range that long.
    let Ok(time) = humantime::parse_duration(text) else { return invalid() };
    let micros = u64::try_from(time.as_micros()).ok().filter(|m| Duration::from_micros(*m) == time);
    match micros {
        Some(micros) if (*least..=*most).contains(&micros) => Ok(Micros(micros)),
        Some(_) => out_of_range(text),
        None => Err(format!("{} is finer than a microsecond", quoted(text))),
    }
}

pub(crate) fn size(kind: &ValueKind, value: &DeValue<'_>) -> Parsed<usize> {
    let ValueKind::Size(least, most) = kind else { unreachable!("the schema has {kind:?} for a size") };
    if value.is_integer() {
        return Err("a size has a unit and is written in quotes".into());
    }
    let text = text(value)?;
    // The library also accepts `64`, `1e3` and `6_4 K`.
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic()).trim_end();
    let is_allowed = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let unit = parse_size::Config::new().with_byte_suffix(parse_size::ByteSuffix::Require);
    let Some(bytes) = unit.parse_size(text).ok().filter(|_| is_allowed) else {
        return Err(format!("{} is not a valid size", quoted(text)));
    };
    let fits = (least..=most).contains(&&bytes).then(|| usize::try_from(bytes).ok()).flatten();
    fits.map_or_else(|| out_of_range(text), Ok)
}

/// Maximum length of a name, in bytes.
const MAX_NAME: usize = 64;
/// Maximum number of hex digits: those of a 64-bit number.
const MAX_HEX: usize = 16;
/// Maximum length of a header name, in bytes.
const MAX_HEADER_NAME: usize = 128;
/// Maximum length of a header value in the file, in bytes.
const MAX_HEADER_VALUE: usize = 1_024;
/// Maximum length of a method, in bytes.
const MAX_METHOD: usize = 32;
/// Maximum length of a route's path prefix, in bytes.
const MAX_PATH: usize = 1_024;

/// Returns whether a text is a valid name.
fn is_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=MAX_NAME).contains(&text.len()) && text.bytes().all(is_allowed)
}

fn parse_name(text: &str) -> Parsed<String> {
    match text {
        "" => Err("a name may not be empty".into()),
        text if is_name(text) => Ok(text.into()),
        text if text.chars().count() > MAX_NAME => Err(format!("the name {} is too long", quoted(text))),
        text => Err(format!("{} is not a valid name", quoted(text))),
    }
}

pub(crate) fn name(kind: &ValueKind, value: &DeValue<'_>) -> Parsed<String> {
    match text(value)? {
        "" if *kind == ValueKind::NameOrEmpty => Ok(String::new()),
        text => parse_name(text),
    }
}

pub(crate) fn deduplication_group(_: &ValueKind, value: &DeValue<'_>) -> Parsed<String> {
    match value.as_integer() {
        Some(whole) => match u64::from_str_radix(whole.as_str(), whole.radix()) {
            Ok(number) => Ok(number.to_string()),
            Err(_) => out_of_range(&whole.to_string()),
        },
        None => parse_name(text(value)?),
    }
}

pub(crate) fn choice(kind: &ValueKind, value: &DeValue<'_>) -> Parsed<&'static str> {
    let ValueKind::Choice(words) = kind else { unreachable!("the schema has {kind:?} for a word") };
    let text = text(value)?;
    words
        .iter()
        .find(|w| **w == text)
        .copied()
        .ok_or_else(|| format!("{} is not one of the allowed values", quoted(text)))
}

pub(crate) fn address(_: &ValueKind, value: &DeValue<'_>) -> Parsed<SocketAddr> {
    let text = text(value)?;
    let Ok(mut address) = text.parse::<SocketAddr>() else {
        return Err(format!("{} is not an IP address with a port", quoted(text)));
    };
    // `[::ffff:127.0.0.1]:80` is another notation of `127.0.0.1:80`.
    address.set_ip(address.ip().to_canonical());
    match address.port() {
        0 => Err(format!("{} has port 0, which cannot be used", quoted(text))),
        _ => Ok(address),
    }
}

pub(crate) fn hex(_: &ValueKind, value: &DeValue<'_>) -> Parsed<u64> {
    let text = text(value)?;
    let is_allowed = (1..=MAX_HEX).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
    let number = is_allowed.then(|| u64::from_str_radix(text, 16).ok()).flatten();
    number.ok_or_else(|| format!("{} is not a hexadecimal number of 1 to 16 digits", quoted(text)))
}

/// Returns whether a text is an HTTP token.
fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

/// Parses a header name into lower case.
pub(crate) fn header(_: &ValueKind, value: &DeValue<'_>) -> Parsed<String> {
    let text = text(value)?;
    match is_token(text) && text.len() <= MAX_HEADER_NAME {
        true => Ok(text.to_ascii_lowercase()),
        false => Err(format!("{} is not a valid header name", quoted(text))),
    }
}

pub(crate) fn header_value(_: &ValueKind, value: &DeValue<'_>) -> Parsed<String> {
    let text = text(value)?;
    let is_allowed =
        text.bytes().all(|b| (b' '..=b'~').contains(&b)) && text.trim() == text && !text.is_empty();
    match is_allowed && text.len() <= MAX_HEADER_VALUE {
        true => Ok(text.into()),
        false => Err(format!("{} is not a valid header value", quoted(text))),
    }
}

pub(crate) fn method(_: &ValueKind, value: &DeValue<'_>) -> Parsed<String> {
    let text = text(value)?;
    match is_token(text) && text.len() <= MAX_METHOD && !text.bytes().any(|b| b.is_ascii_lowercase()) {
        true => Ok(text.into()),
        false => Err(format!("{} is not a valid method", quoted(text))),
    }
}

pub(crate) fn path(_: &ValueKind, value: &DeValue<'_>) -> Parsed<String> {
    let text = text(value)?;
    let is_allowed = text.bytes().all(|b| (b'!'..=b'~').contains(&b) && b != b'?' && b != b'#');
    match text.starts_with('/') && is_allowed && !text.contains("//") && text.len() <= MAX_PATH {
        true => Ok(text.into()),
        false => Err(format!("{} is not a valid path prefix", quoted(text))),
    }
}

/// Parses the path of a file.
pub(crate) fn file_path(kind: &ValueKind, value: &DeValue<'_>) -> Parsed<PathBuf> {
    let ValueKind::FilePath(most) = kind else { unreachable!("the schema has {kind:?} for a file") };
    match text(value)? {
        "" => Err("a path may not be empty".into()),
        text if text.len() > *most => Err(format!("the path {} is too long", quoted(text))),
        text if text.contains(char::is_control) => Err(format!("{} is not a valid file path", quoted(text))),
        text => Ok(text.into()),
    }
}

/// Parses a status, or a range of statuses such as `"200-299"`.
pub(crate) fn statuses(_: &ValueKind, value: &DeValue<'_>) -> Parsed<(u16, u16)> {
    let (shown, range) = match value {
        DeValue::Integer(whole) => {
            let status = u16::from_str_radix(whole.as_str(), whole.radix()).ok();
            (whole.to_string(), status.map(|s| (s, s)))
        }
        _ => {
            let text = text(value)?;
            let (first, last) = text.split_once('-').unwrap_or((text, text));
            let status = |t: &str| t.parse::<u16>().ok().filter(|_| t.bytes().all(|b| b.is_ascii_digit()));
            let range = status(first.trim()).zip(status(last.trim()));
            (
                text.to_string(),
                Some(range.ok_or_else(|| format!("{} is not a valid range of statuses", quoted(text)))?),
            )
        }
    };
    match range {
        Some((first, last)) if first > last => Err(format!("{} goes from high to low", quoted(&shown))),
        Some((first, last)) if first >= 200 && last <= 599 => Ok((first, last)),
        _ => out_of_range(&shown),
    }
}
