//! One balancer of the simulation: translates messages to its events, and its actions to replies.

use crate::error::WireError;
use crate::line::Line;
use crate::messages::{endpoint_update, reply, request_flags, Message};
use serde_json::{json, Value};
use shaletide_balancer::{
    Action, Arrival, AttemptEnd, AttemptNumber, BackendId, Balancer, EndpointUpdate, Event, Micros,
    SharedLimits, TenantId, Time, TimerToken,
};
use shaletide_config::platform::{self, NamedEntry, Names};
use std::collections::HashMap;
use std::io::Write;

/// The endpoint lists by number, as messages refer to them.
pub type Lists = HashMap<u64, Vec<NamedEntry>>;

/// A balancer, with its own numbers for backends and names.
pub struct Instance {
    name: String,
    balancer: Balancer,
    shared: SharedLimits,
    names: Names,
    ids: HashMap<String, BackendId>,
    /// Addresses, indexed by the backend's number.
    addresses: Vec<String>,
    actions: Vec<Action>,
}

impl Instance {
    /// Creates a balancer from the platform's settings.
    ///
    /// # Errors
    /// Returns the first invalid setting.
    pub fn new(name: &str, seed: u64, settings: &Value) -> Result<Instance, String> {
        let (config, names) = platform::read(settings).map_err(|error| error.to_string())?;
        let balancer = Balancer::new(config, seed).map_err(|error| error.to_string())?;
        Ok(Instance {
            name: name.into(),
            balancer,
            shared: SharedLimits::new(),
            names,
            ids: HashMap::new(),
            addresses: Vec::new(),
            actions: Vec::new(),
        })
    }

    /// Handles a message and appends the replies to `replies`.
    ///
    /// # Errors
    /// Returns the first invalid value; the message has no effect then.
    pub fn handle(
        &mut self, now: Time, line: &Line<'_>, lists: &Lists, replies: &mut Vec<u8>,
    ) -> Result<(), WireError> {
        let Some(event) = self.event(line, lists)? else { return Ok(()) };
        self.balancer.handle(now, event, &mut self.shared, &mut self.actions);
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.write_reply(&action, replies);
        }
        self.actions = actions; // keeps the allocated capacity
        Ok(())
    }

    fn event(&mut self, line: &Line<'_>, lists: &Lists) -> Result<Option<Event>, WireError> {
        let event = match line.message {
            Message::EndpointsUpdated => self.endpoints_updated(line, lists)?,
            Message::Request => Event::Request(self.arrival(line)?),
            Message::StreamStarted => {
                Event::StreamStarted { request: line.request_id(1)?, attempt: attempt(line)? }
            }
            Message::AttemptEnded => Event::AttemptEnded(attempt_end(line)?),
            Message::ClientDisconnected => Event::ClientDisconnected { request: line.request_id(1)? },
            Message::Timer => Event::Timer { token: TimerToken(line.integer(1, "a token")?) },
            _ => return Ok(None),
        };
        Ok(Some(event))
    }

    fn endpoints_updated(&mut self, line: &Line<'_>, lists: &Lists) -> Result<Event, WireError> {
        let update = endpoint_update(line.text(3, "a list kind")?)
            .ok_or_else(|| line.error(3, "incr, total, warm_copy or lost"))?;
        let mut backends = Vec::new();
        if update != EndpointUpdate::SubscriptionLost {
            let number = line.integer(1, "a roster number")?;
            let entries = lists.get(&number).ok_or_else(|| line.error(1, "a known roster number"))?;
            for entry in entries {
                let id = self.backend_id(&entry.address);
                backends.push(self.names.assign_numbers(entry, id));
            }
        }
        Ok(Event::EndpointsUpdated { update, backends })
    }

    fn arrival(&self, line: &Line<'_>) -> Result<Arrival, WireError> {
        let flags = line.value(6).as_u64().unwrap_or(0);
        let has_work_hint = flags & request_flags::HAS_WORK_HINT != 0;
        Ok(Arrival {
            request: line.request_id(1)?,
            work_hint: line.value(2).as_u64().filter(|_| has_work_hint).map(Micros),
            is_client_retry: flags & request_flags::IS_CLIENT_RETRY != 0,
            may_fail_over: false,
            time_left: Micros(line.integer(3, "the time left in microseconds")?),
            tenant: self.tenant(line, 5)?,
            class: self
                .names
                .class(line.text(7, "a class")?)
                .ok_or_else(|| line.error(7, "a known class"))?,
        })
    }

    /// Returns the tenant that a value names, or none if the value is not text.
    fn tenant(&self, line: &Line<'_>, index: usize) -> Result<Option<TenantId>, WireError> {
        let Value::String(name) = line.value(index) else { return Ok(None) };
        let tenant = self.names.tenant(name).ok_or_else(|| line.error(index, "a known tenant"))?;
        Ok(Some(tenant))
    }

    /// Returns the number of a backend. A new address is assigned the next number.
    fn backend_id(&mut self, address: &str) -> BackendId {
        if let Some(id) = self.ids.get(address) {
            return *id;
        }
        let id = BackendId(self.addresses.len() as u32);
        self.ids.insert(address.into(), id);
        self.addresses.push(address.into());
        id
    }

    fn write_reply(&self, action: &Action, replies: &mut Vec<u8>) {
        let instance = &self.name;
        // Names of instances and addresses are known to need no escapes in JSON. Writing to a vector does not fail.
        let _ = match action {
            Action::Dispatch { request, backend, .. } => {
                let address = &self.addresses[backend.0 as usize];
                let name = reply::DISPATCH;
                writeln!(replies, "[\"{name}\",\"{instance}\",\"{:016x}\",\"{address}\",0]", request.0)
            }
            Action::Reject { request, retry_after, .. } => {
                let name = reply::REJECT;
                writeln!(replies, "[\"{name}\",\"{instance}\",\"{:016x}\",{}]", request.0, retry_after.0)
            }
            Action::Fail { request, .. } => {
                writeln!(replies, "[\"{}\",\"{instance}\",\"{:016x}\"]", reply::FAIL, request.0)
            }
            Action::Cancel { request, attempt } => {
                let name = reply::CANCEL;
                writeln!(replies, "[\"{name}\",\"{instance}\",\"{:016x}\",{}]", request.0, attempt.0)
            }
            Action::SetTimer { token, after } => {
                writeln!(replies, "[\"{}\",\"{instance}\",{},{}]", reply::SET_TIMER, token.0, after.0)
            }
            Action::FailOver { .. } => Ok(()), // never returned: `may_fail_over` is false for every request
            Action::Subscribe => writeln!(replies, "[\"{}\",\"{instance}\",true]", reply::SUBSCRIBE),
            Action::Log(text) => writeln!(replies, "{}", json!([reply::LOG, instance, text])),
        };
    }
}

fn attempt(line: &Line<'_>) -> Result<AttemptNumber, WireError> {
    Ok(AttemptNumber(line.integer(2, "an attempt")? as u32))
}

fn attempt_end(line: &Line<'_>) -> Result<AttemptEnd, WireError> {
    line.text(3, "a backend")?;
    Ok(AttemptEnd {
        request: line.request_id(1)?,
        attempt: attempt(line)?,
        outcome: line.outcome(4)?,
        latency: Micros(line.integer(5, "a time in microseconds")?),
        request_answered: line.flag(6, "true or false")?,
    })
}
