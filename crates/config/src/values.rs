//! One value of the file at a time: its type, form and range. The error says what was found instead; what was expected is
//! in the schema.

use crate::diagnostics::quoted;
use crate::schema::ValueKind;
use shaletide_balancer::Micros;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::de::DeValue;

/// A value, or what was found instead, in words.
pub(crate) type Parsed<T> = Result<T, String>;

/// The type of a value in words.
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
    Err(format!("{} does not fit here", describe(value)))
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
            return Err("a time has a unit and stands in quotes".into())
        }
        _ => text(value)?,
    };
    let bad = || Err(format!("{} is no time", quoted(text)));
    // Months and years are averages there, and no limit of ours is as long.
    let Ok(time) = humantime::parse_duration(text) else { return bad() };
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
        return Err("a size has a unit and stands in quotes".into());
    }
    let text = text(value)?;
    // The library takes `64`, `1e3` and `6_4 K` too.
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic()).trim_end();
    let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let unit = parse_size::Config::new().with_byte_suffix(parse_size::ByteSuffix::Require);
    let Some(bytes) = unit.parse_size(text).ok().filter(|_| plain) else {
        return Err(format!("{} is no size", quoted(text)));
    };
    let fits = (least..=most).contains(&&bytes).then(|| usize::try_from(bytes).ok()).flatten();
    fits.map_or_else(|| out_of_range(text), Ok)
}

/// The longest name, in bytes.
const MAX_NAME: usize = 64;
/// Hex digits of a 64-bit number.
const MAX_HEX: usize = 16;
/// The longest name of a header, in bytes.
const MAX_HEADER_NAME: usize = 128;
/// The longest value of a header that a route asks for, in bytes.
const MAX_HEADER_VALUE: usize = 1_024;
/// The longest method, in bytes.
const MAX_METHOD: usize = 32;
/// The longest beginning of a path that a route asks for, in bytes.
const MAX_PATH: usize = 1_024;

/// Whether a text is a name.
fn is_name(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=MAX_NAME).contains(&text.len()) && text.bytes().all(plain)
}

fn named(text: &str) -> Parsed<String> {
    match text {
        "" => Err("a name may not be empty".into()),
        text if is_name(text) => Ok(text.into()),
        text if text.chars().count() > MAX_NAME => Err(format!("the name {} is too long", quoted(text))),
        text => Err(format!("{} is no name", quoted(text))),
    }
}

pub(crate) fn name(kind: &ValueKind, value: &DeValue<'_>) -> Parsed<String> {
    match text(value)? {
        "" if *kind == ValueKind::NameOrEmpty => Ok(String::new()),
        text => named(text),
    }
}

pub(crate) fn deduplication_group(_: &ValueKind, value: &DeValue<'_>) -> Parsed<String> {
    match value.as_integer() {
        Some(whole) => match u64::from_str_radix(whole.as_str(), whole.radix()) {
            Ok(number) => Ok(number.to_string()),
            Err(_) => out_of_range(&whole.to_string()),
        },
        None => named(text(value)?),
    }
}

pub(crate) fn choice(kind: &ValueKind, value: &DeValue<'_>) -> Parsed<&'static str> {
    let ValueKind::Choice(words) = kind else { unreachable!("the schema has {kind:?} for a word") };
    let text = text(value)?;
    words.iter().find(|w| **w == text).copied().ok_or_else(|| format!("{} is not known here", quoted(text)))
}

pub(crate) fn address(_: &ValueKind, value: &DeValue<'_>) -> Parsed<SocketAddr> {
    let text = text(value)?;
    let Ok(mut address) = text.parse::<SocketAddr>() else {
        return Err(format!("{} is no IP address with a port", quoted(text)));
    };
    // `[::ffff:127.0.0.1]:80` is `127.0.0.1:80` under another name.
    address.set_ip(address.ip().to_canonical());
    match address.port() {
        0 => Err(format!("{} has no port that one could connect to", quoted(text))),
        _ => Ok(address),
    }
}

pub(crate) fn hex(_: &ValueKind, value: &DeValue<'_>) -> Parsed<u64> {
    let text = text(value)?;
    let plain = (1..=MAX_HEX).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
    let number = plain.then(|| u64::from_str_radix(text, 16).ok()).flatten();
    number.ok_or_else(|| format!("{} is no such number", quoted(text)))
}

/// Whether a text is a token as HTTP has it.
fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

/// A header's name, in lower case.
pub(crate) fn header(_: &ValueKind, value: &DeValue<'_>) -> Parsed<String> {
    let text = text(value)?;
    match is_token(text) && text.len() <= MAX_HEADER_NAME {
        true => Ok(text.to_ascii_lowercase()),
        false => Err(format!("{} is no header's name", quoted(text))),
    }
}

pub(crate) fn header_value(_: &ValueKind, value: &DeValue<'_>) -> Parsed<String> {
    let text = text(value)?;
    let plain = text.bytes().all(|b| (b' '..=b'~').contains(&b)) && text.trim() == text && !text.is_empty();
    match plain && text.len() <= MAX_HEADER_VALUE {
        true => Ok(text.into()),
        false => Err(format!("{} is no header's value", quoted(text))),
    }
}

pub(crate) fn method(_: &ValueKind, value: &DeValue<'_>) -> Parsed<String> {
    let text = text(value)?;
    match is_token(text) && text.len() <= MAX_METHOD && !text.bytes().any(|b| b.is_ascii_lowercase()) {
        true => Ok(text.into()),
        false => Err(format!("{} is no method", quoted(text))),
    }
}

pub(crate) fn path(_: &ValueKind, value: &DeValue<'_>) -> Parsed<String> {
    let text = text(value)?;
    let plain = text.bytes().all(|b| (b'!'..=b'~').contains(&b) && b != b'?' && b != b'#');
    match text.starts_with('/') && plain && !text.contains("//") && text.len() <= MAX_PATH {
        true => Ok(text.into()),
        false => Err(format!("{} is no beginning of a path", quoted(text))),
    }
}

/// The path of a file.
pub(crate) fn file_path(kind: &ValueKind, value: &DeValue<'_>) -> Parsed<PathBuf> {
    let ValueKind::FilePath(most) = kind else { unreachable!("the schema has {kind:?} for a file") };
    match text(value)? {
        "" => Err("a path may not be empty".into()),
        text if text.len() > *most => Err(format!("the path {} is too long", quoted(text))),
        text if text.contains(char::is_control) => Err(format!("{} is no path of a file", quoted(text))),
        text => Ok(text.into()),
    }
}

/// A status, or a range of them as `"200-299"`.
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
                Some(range.ok_or_else(|| format!("{} is no range of statuses", quoted(text)))?),
            )
        }
    };
    match range {
        Some((first, last)) if first > last => Err(format!("{} goes from high to low", quoted(&shown))),
        Some((first, last)) if first >= 200 && last <= 599 => Ok((first, last)),
        _ => out_of_range(&shown),
    }
}
