//! Numbers and states as the tables have them.

use shaletide_record::KeyState;
use shaletide_types::Time;

/// The state's number in the table. A state that the table does not know is refused by its constraint.
pub(super) fn state_number(state: KeyState) -> i64 {
    match state {
        KeyState::InFlight => 0,
        KeyState::InDoubt => 1,
        KeyState::Served => 2,
    }
}

pub(super) fn state_of(number: i64) -> KeyState {
    match number {
        0 => KeyState::InFlight,
        2 => KeyState::Served,
        // Also for what no store writes: a doubt never sends anything.
        _ => KeyState::InDoubt,
    }
}

/// Numbers go into the table bit by bit, so that each of them comes back as it was.
pub(super) fn to_sql(number: u64) -> i64 {
    number as i64
}

pub(super) fn of_sql(number: i64) -> u64 {
    number as u64
}

/// A limit as a statement takes it.
pub(super) fn limit_to_sql(limit: usize) -> i64 {
    i64::try_from(limit).unwrap_or(i64::MAX)
}

/// A time to compare with the table's; one that the table cannot hold is later than all of them.
pub(super) fn time_to_sql(time: Time) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
