//! Conversion of numbers and states to and from the values in the tables.

use shaletide_record::KeyState;
use shaletide_types::Time;

/// Returns the code of a state in the table. The table's constraint rejects any other code.
pub(super) fn state_code(state: KeyState) -> i64 {
    match state {
        KeyState::InFlight => 0,
        KeyState::InDoubt => 1,
        KeyState::Served => 2,
    }
}

pub(super) fn state_from_code(number: i64) -> KeyState {
    match number {
        0 => KeyState::InFlight,
        2 => KeyState::Served,
        // Codes that no store writes are read as in doubt too: a request whose key is in doubt is never sent.
        _ => KeyState::InDoubt,
    }
}

/// Reinterprets the bits as a signed number, so that every value is read back unchanged.
pub(super) fn to_sql(number: u64) -> i64 {
    number as i64
}

pub(super) fn number_from_sql(number: i64) -> u64 {
    number as u64
}

/// Converts a limit to a statement's parameter.
pub(super) fn limit_to_sql(limit: usize) -> i64 {
    i64::try_from(limit).unwrap_or(i64::MAX)
}

/// Converts a time for a comparison with the table's times. A time that the table cannot hold is later than all of them.
pub(super) fn time_to_sql(time: Time) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
