//! Reads and formats times in the operators' time zone.

use super::error::CommandError;
use jiff::civil::DateTime;
use jiff::tz::{Offset, TimeZone};
use jiff::Timestamp;
use shaletide_types::Time;

/// A time zone.
pub struct Zone {
    zone: TimeZone,
    /// The name for output.
    pub name: String,
}

impl Zone {
    /// Returns the zone of this name, or the system's.
    pub fn of(name: Option<&str>) -> Result<Zone, CommandError> {
        let Some(name) = name else {
            // UTC is the fallback if the system's zone cannot be read.
            let zone = TimeZone::try_system().unwrap_or(TimeZone::UTC);
            let name = zone.iana_name().unwrap_or("the system's zone").to_string();
            return Ok(Zone { zone, name });
        };
        let zone = match offset(name) {
            Some(offset) => TimeZone::fixed(offset),
            None if name.eq_ignore_ascii_case("utc") => TimeZone::UTC,
            None => TimeZone::get(name).map_err(|_| {
                CommandError::invalid(format!(
                    "--tz {name}: this system has no such time zone; an offset such as +02:00 always works"
                ))
            })?,
        };
        Ok(Zone { zone, name: name.to_string() })
    }

    fn show(&self, at: Time, form: &str) -> String {
        let stamp = i64::try_from(at.0).ok().and_then(|micros| Timestamp::from_microsecond(micros).ok());
        match stamp {
            Some(stamp) => stamp.to_zoned_datetime(self.zone.clone()).strftime(form).to_string(),
            None => format!("{} us", at.0),
        }
    }

    /// Formats the date.
    pub fn day(&self, at: Time) -> String {
        self.show(at, "%Y-%m-%d")
    }

    /// Formats the time of the day, to the millisecond.
    pub fn clock(&self, at: Time) -> String {
        self.show(at, "%H:%M:%S%.3f")
    }

    /// Formats date and time, to the millisecond.
    pub fn full(&self, at: Time) -> String {
        self.show(at, "%Y-%m-%d %H:%M:%S%.3f")
    }

    /// Formats date, time and offset as in RFC 3339, to the microsecond.
    pub fn rfc3339(&self, at: Time) -> String {
        self.show(at, "%Y-%m-%dT%H:%M:%S%.6f%:z")
    }

    /// Parses the value of the argument `argument`: a time with an offset, a time in this zone, a date, or an age.
    pub fn read(&self, argument: &str, text: &str) -> Result<Time, CommandError> {
        let stamp = text.parse::<Timestamp>().ok().or_else(|| {
            let civil = text.parse::<DateTime>().ok()?;
            Some(civil.to_zoned_datetime(self.zone.clone()).ok()?.timestamp())
        });
        let micros = match (stamp, humantime::parse_duration(text)) {
            (Some(stamp), _) => u64::try_from(stamp.as_microsecond()).ok(),
            (None, Ok(span)) => u64::try_from(span.as_micros()).ok().map(|span| now().0.saturating_sub(span)),
            (None, Err(_)) => None,
        };
        micros.map(Time).ok_or_else(|| {
            let expected =
                "such as \"2026-12-01 10:30\", 2026-12-01T10:30:00Z, 2026-12-01, or 2h for two hours ago";
            CommandError::invalid(format!("{argument} {text}: expected a time {expected}"))
        })
    }
}

fn offset(text: &str) -> Option<Offset> {
    let sign = match text.as_bytes().first()? {
        b'+' => 1,
        b'-' => -1,
        _ => return None,
    };
    let (hours, minutes) = text.get(1..)?.split_once(':')?;
    let number =
        |t: &str| t.parse::<i32>().ok().filter(|_| t.len() == 2 && t.bytes().all(|b| b.is_ascii_digit()));
    let hours = number(hours)?;
    let minutes = number(minutes).filter(|m| *m < 60)?;
    Offset::from_seconds(sign * (hours * 3600 + minutes * 60)).ok()
}

/// Returns the wall-clock time.
pub fn now() -> Time {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Time(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}
