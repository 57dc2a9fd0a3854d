//! Lines to events, actions to lines.

use serde_json::Value;
use shaletide_balancer::*;
use shaletide_config::platform::{NamedEntry, Names};
use std::collections::HashMap;
use std::io::Write;

/// One instance: its decisions and its own numbering of backends.
struct Instance {
    balancer: Balancer,
    shared: SharedLimits,
    names: Names,
    numbers: HashMap<String, BackendId>,
    addresses: Vec<String>,
}

impl Instance {
    fn backend(&mut self, address: &str) -> BackendId {
        if let Some(id) = self.numbers.get(address) {
            return *id;
        }
        let id = BackendId(self.addresses.len() as u32);
        self.numbers.insert(address.into(), id);
        self.addresses.push(address.into());
        id
    }
}

/// All instances of this process, and the lists that `VIEW` lines refer to.
#[derive(Default)]
pub struct Host {
    /// `None`: its settings were refused and a fault was sent.
    instances: HashMap<String, Option<Instance>>,
    rosters: HashMap<u64, Vec<NamedEntry>>,
    now: Option<Time>,
    actions: Vec<Action>,
}

/// The values of one line, with messages that say what was expected.
struct Fields<'a> {
    name: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    fn bad(&self, at: usize, expected: &str) -> String {
        let got = self.values.get(at).unwrap_or(&Value::Null);
        format!("{}: value {at}: expected {expected}, got {got}", self.name)
    }
    fn text(&self, at: usize, what: &str) -> Result<&'a str, String> {
        self.values.get(at).and_then(Value::as_str).ok_or_else(|| self.bad(at, what))
    }
    fn whole(&self, at: usize, what: &str) -> Result<u64, String> {
        self.values.get(at).and_then(Value::as_u64).ok_or_else(|| self.bad(at, what))
    }
    fn flag(&self, at: usize, what: &str) -> Result<bool, String> {
        self.values.get(at).and_then(Value::as_bool).ok_or_else(|| self.bad(at, what))
    }
    fn request(&self, at: usize) -> Result<RequestId, String> {
        let text = self.text(at, "a request id of 16 hex digits")?;
        let plain = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let id = plain.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        id.map(RequestId).ok_or_else(|| self.bad(at, "a request id of 16 lower-case hex digits"))
    }
    fn outcome(&self, at: usize) -> Result<Outcome, String> {
        Ok(match self.whole(at, "an outcome code from 0 to 7")? {
            0 => Outcome::Error,
            1 => Outcome::Ok,
            2 => Outcome::Rejected,
            3 => Outcome::TimedOut,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::NotSent,
            _ => return Err(self.bad(at, "an outcome code from 0 to 7")),
        })
    }
}

impl Host {
    /// Takes one line; true when a reply is complete and wants flushing.
    pub fn line(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<bool, String> {
        let value: Value = serde_json::from_str(line).map_err(|e| format!("expected a JSON array: {e}"))?;
        let values = value.as_array().ok_or("expected a JSON array")?;
        let name = values.first().and_then(Value::as_str).ok_or("expected a message name first")?;
        let f = Fields { name, values: &values[1..] };
        let arity = match name {
            "TICK" | "KILLED" => 1,
            "END" => 0,
            "SNAPSHOT_ROWS" | "VANISHED" | "TIMEOUT_FIRED" => 2,
            "CREATE" | "MEMO" => 3,
            "VIEW" => 4,
            "ESTABLISHED" | "STATUS_BACK" => 5,
            "JOB_IN" | "RETURNED" => 8,
            _ => return Err(format!("unknown message {name}")),
        };
        if f.values.len() != arity {
            return Err(format!("{name}: expected {arity} values, got {}", f.values.len()));
        }
        if name == "TICK" {
            self.now = Some(Time(f.whole(0, "the clock in microseconds")?));
            return Ok(false);
        }
        let now = self.now.ok_or_else(|| format!("{name}: expected TICK first"))?;
        match name {
            "END" => {
                self.now = None;
                reply.extend_from_slice(b"[\"YIELD\"]\n");
                return Ok(true);
            }
            "SNAPSHOT_ROWS" => {
                let id = f.whole(0, "a roster number from 0 to 15")?;
                if id > 15 {
                    return Err(f.bad(0, "a roster number from 0 to 15"));
                }
                let rows = f.values[1].as_array().ok_or_else(|| f.bad(1, "an array of entries"))?;
                let rows: Result<Vec<NamedEntry>, String> = rows.iter().map(row).collect();
                self.rosters.insert(id, rows?);
                return Ok(false);
            }
            "CREATE" => {
                self.create(&f, reply)?;
                return Ok(false);
            }
            _ => {}
        }
        let who = f.text(0, "an instance")?;
        if name == "KILLED" {
            self.instances.remove(who).ok_or_else(|| f.bad(0, "a known instance"))?;
            return Ok(false);
        }
        let slot = self.instances.get_mut(who).ok_or_else(|| f.bad(0, "a known instance"))?;
        let Some(instance) = slot else { return Ok(false) };
        let Some(event) = event(&f, instance, &self.rosters)? else { return Ok(false) };
        instance.balancer.handle(now, event, &mut instance.shared, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(who, instance, &action, reply);
        }
        Ok(false)
    }

    fn create(&mut self, f: &Fields, reply: &mut Vec<u8>) -> Result<(), String> {
        let who = f.text(0, "an instance")?;
        let plain = who.strip_prefix("proxy-").is_some_and(|n| n.parse::<u64>().is_ok());
        if !plain {
            return Err(f.bad(0, "an instance such as proxy-3"));
        }
        let seed = f.whole(1, "a seed")?;
        let made = shaletide_config::platform::read(&f.values[2]).map_err(|e| e.to_string()).and_then(
            |(config, names)| Balancer::new(config, seed).map(|b| (b, names)).map_err(|e| e.to_string()),
        );
        let instance = match made {
            Ok((balancer, names)) => Some(Instance {
                balancer,
                shared: SharedLimits::new(),
                names,
                numbers: HashMap::new(),
                addresses: Vec::new(),
            }),
            Err(text) => {
                eprintln!("shaletide-adapter: settings of {who}: {text}");
                put(reply, &serde_json::json!(["BROKEN", who, format!("settings: {text}")]));
                None
            }
        };
        self.instances.insert(who.into(), instance);
        Ok(())
    }
}

fn event(
    f: &Fields, to: &mut Instance, rosters: &HashMap<u64, Vec<NamedEntry>>,
) -> Result<Option<Event>, String> {
    Ok(Some(match f.name {
        "VIEW" => {
            let update = match f.text(3, "a list kind")? {
                "incr" => EndpointUpdate::Delta,
                "total" => EndpointUpdate::Snapshot,
                "warm_copy" => EndpointUpdate::Cached,
                "lost" => EndpointUpdate::SubscriptionLost,
                _ => return Err(f.bad(3, "incr, total, warm_copy or lost")),
            };
            let mut backends = Vec::new();
            if update != EndpointUpdate::SubscriptionLost {
                let id = f.whole(1, "a roster number")?;
                for row in rosters.get(&id).ok_or_else(|| f.bad(1, "a known roster number"))? {
                    let id = to.backend(&row.address);
                    backends.push(to.names.numbered(row, id));
                }
            }
            Event::EndpointsUpdated { update, backends }
        }
        "JOB_IN" => {
            let flags = f.values[6].as_u64().unwrap_or(0);
            Event::Request(Arrival {
                request: f.request(1)?,
                work_hint: f.values[2].as_u64().filter(|_| flags & 1 == 1).map(Micros),
                is_client_retry: flags & 2 == 2,
                may_fail_over: false,
                time_left: Micros(f.whole(3, "the time left in microseconds")?),
                tenant: match &f.values[5] {
                    Value::String(name) => {
                        Some(to.names.tenant(name).ok_or_else(|| f.bad(5, "a known tenant"))?)
                    }
                    _ => None,
                },
                class: to.names.class(f.text(7, "a class")?).ok_or_else(|| f.bad(7, "a known class"))?,
            })
        }
        "ESTABLISHED" => Event::StreamStarted {
            request: f.request(1)?,
            attempt: AttemptNumber(f.whole(2, "an attempt")? as u32),
        },
        "RETURNED" => {
            f.text(3, "a backend")?;
            Event::AttemptEnded(AttemptEnd {
                request: f.request(1)?,
                attempt: AttemptNumber(f.whole(2, "an attempt")? as u32),
                outcome: f.outcome(4)?,
                latency: Micros(f.whole(5, "a time in microseconds")?),
                request_answered: f.flag(6, "true or false")?,
            })
        }
        "VANISHED" => Event::ClientDisconnected { request: f.request(1)? },
        "TIMEOUT_FIRED" => Event::Timer { token: TimerToken(f.whole(1, "a token")?) },
        // MEMO, STATUS_BACK: peers are told nothing and no backend is probed, so neither is ever heard.
        _ => return Ok(None),
    }))
}

/// One entry of a list: an array in the order of the wire's page.
fn row(row: &Value) -> Result<NamedEntry, String> {
    let bad = |what: &str| format!("list entry {row}: expected {what}");
    let row = row.as_array().filter(|r| r.len() == 7).ok_or_else(|| bad("an array of 7 values"))?;
    let text = |at: usize, what| row[at].as_str().ok_or_else(|| bad(what));
    let address = text(3, "an address")?;
    let plain = |b: u8| b.is_ascii_graphic() && b != b'"' && b != b'\\';
    if address.is_empty() || !address.bytes().all(plain) {
        return Err(bad("a plain address"));
    }
    let state = match text(4, "IN, LAME or OUT")? {
        "IN" => BackendState::Ready,
        "LAME" => BackendState::Draining,
        "OUT" => BackendState::Gone,
        _ => return Err(bad("IN, LAME or OUT")),
    };
    let booted = match &row[6] {
        Value::Null => None,
        v => Some(v.as_u64().ok_or_else(|| bad("a start time or null"))?),
    };
    let entry = BackendEntry {
        deduplication_group: DeduplicationGroupId(row[1].as_u64().ok_or_else(|| bad("a cell number"))?),
        state,
        weight: row[5].as_f64().filter(|w| (0.0..=1e6).contains(w)).map_or(0, |w| (w * 1e3).round() as u32),
        started_at: booted.filter(|t| *t > 0).map(Time),
        ..BackendEntry::default()
    };
    Ok(NamedEntry::new(address, address, text(0, "a zone")?, text(2, "a kind")?, entry))
}

fn put(reply: &mut Vec<u8>, value: &Value) {
    let _ = writeln!(reply, "{value}");
}

fn write_action(who: &str, from: &Instance, action: &Action, reply: &mut Vec<u8>) {
    let address = |id: &BackendId| &from.addresses[id.0 as usize];
    // Instance names and addresses were checked to hold nothing that JSON would escape.
    let _ = match action {
        Action::Dispatch { request, backend, .. } => {
            let to = address(backend);
            writeln!(reply, "[\"HAND_OFF\",\"{who}\",\"{:016x}\",\"{to}\",0]", request.0)
        }
        Action::Reject { request, retry_after } => {
            writeln!(reply, "[\"BOUNCE\",\"{who}\",\"{:016x}\",{}]", request.0, retry_after.0)
        }
        Action::Fail { request, .. } => writeln!(reply, "[\"LOSE\",\"{who}\",\"{:016x}\"]", request.0),
        Action::Cancel { request, attempt } => {
            writeln!(reply, "[\"RECALL\",\"{who}\",\"{:016x}\",{}]", request.0, attempt.0)
        }
        Action::SetTimer { token, after } => writeln!(reply, "[\"AFTER\",\"{who}\",{},{}]", token.0, after.0),
        Action::FailOver { .. } => Ok(()), // only where a request may go elsewhere, and here none may
        Action::Subscribe => writeln!(reply, "[\"FOLLOW\",\"{who}\",true]"),
        Action::Log(text) => writeln!(reply, "{}", serde_json::json!(["WRITE_LOG", who, text])),
    };
}
