//! A connection is used only if it is open and idle, has received nothing but complete responses, and leads to its
//! backend's current address.

use super::observed::{ObservedConnection, ObservedConnectionState, ObservedState};
use super::{Rule, Rules, Violation};
use shaletide_types::*;

pub(super) fn may_use(
    observed: &ObservedState, now: Time, connection: ConnectionId, rules: &Rules,
) -> Result<ObservedConnection, Violation> {
    let violation = |reason: &str| {
        let description = format!("connection {} was used though {reason}", connection.0);
        Err(Violation { rule: Rule::CleanConnection, at: now, description })
    };
    let Some(known) = observed.connections.get(&connection) else { return violation("it does not exist") };
    match known.state {
        ObservedConnectionState::Connecting => violation("it is not open"),
        ObservedConnectionState::Dirty => violation("bytes of another exchange may be on it"),
        ObservedConnectionState::Busy { request, .. } => {
            violation(&format!("request {} is on it", request.0))
        }
        ObservedConnectionState::Idle(Some(since)) if now < since + rules.reuse_delay => {
            violation("the reuse delay has not passed")
        }
        ObservedConnectionState::Idle(_) if known.address_outdated => {
            violation("its backend listens at another address")
        }
        ObservedConnectionState::Idle(_) => Ok(*known),
    }
}
