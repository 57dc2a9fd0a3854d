//! The stand-ins around the proxy in the demo, and the operators' file that it runs by.

use shaletide_balancer::{DeduplicationScope, Idempotency, Micros};
use shaletide_testkit::*;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpSocket;

/// Requests a second.
pub const RATE: f64 = 350.0;
/// The mean work of a request, ms of a standard core.
const WORK_MS: f64 = 16.0;
/// Each server type: its name, how many backends, and the speed of their one core.
const SERVER_TYPES: [(&str, u32, f64); 2] = [("fast", 4, 2.0), ("slow", 4, 1.0)];
/// How long a client waits.
pub const DEADLINE: Duration = Duration::from_secs(5);
/// A draining backend takes new requests for so long.
pub const GRACE: Micros = Micros(2_000_000);
/// A key is known to its bay for so long.
pub const WINDOW: Micros = Micros(8_000_000);
/// The part of its speed that a backend has when it starts ...
pub const COLD_FROM: f64 = 0.3;
/// ... and when it has all of it.
pub const RAMP: Micros = Micros(3_000_000);
/// What a cold backend may be sent.
pub const PUSH: checks::SlowStartLimit =
    checks::SlowStartLimit { multiple: 3.0, window: Micros(1_000_000), slack: 0.1 };

/// The stand-ins at work.
pub struct Stage {
    pub fleet: Fleet,
    pub discovery: ListServer,
    /// Where the proxy listens.
    pub proxy: SocketAddr,
    /// The operators' file.
    pub config: String,
    /// Keeps the proxy's port from others until it listens.
    _port: TcpSocket,
}

impl Stage {
    /// Starts all but the proxy and the clients.
    pub fn set() -> io::Result<Stage> {
        let services = vec![Service::new("", Distribution::Even(0.5 * WORK_MS, 1.5 * WORK_MS))];
        let fleet = Fleet::with(FleetSpec { services, ..FleetSpec::new(backends()) })?;
        let entries = fleet.backends().iter().map(BackendHandle::entry).collect();
        let discovery = ListServer::start(fleet.clock(), &["demo"], entries)?;
        let port = TcpSocket::new_v4()?;
        port.set_reuseaddr(true)?;
        port.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let proxy = port.local_addr()?;
        let config = config(proxy, discovery.address(0));
        Ok(Stage { fleet, discovery, proxy, config, _port: port })
    }

    /// The backend of that name.
    pub fn named(&self, name: &str) -> io::Result<&BackendHandle> {
        let found = self.fleet.backends().iter().find(|b| b.spec.name == name);
        found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, format!("no backend {name}")))
    }
}

/// The backends: of each server type the first half is in deduplication group 1, the others in 2.
fn backends() -> Vec<BackendSpec> {
    let of_kind = |(kind, count, speed): (&'static str, u32, f64)| {
        (1..=count).map(move |n| {
            let power = CpuCapacity { cores: 1, speed, initial_capacity_fraction: COLD_FROM, ramp: RAMP };
            BackendSpec {
                kind: kind.into(),
                zone: "hall".into(),
                deduplication_group: if n <= count / 2 { 1 } else { 2 },
                drain_grace: Duration::from_micros(GRACE.0),
                ..BackendSpec::new(&format!("{kind}-{n}"), power)
            }
        })
    };
    SERVER_TYPES.into_iter().flat_map(of_kind).collect()
}

/// What clients ask for; the same classes stand in the file.
pub fn classes() -> Vec<LoadClass> {
    let class = |name, share, effect, body| LoadClass {
        share,
        body_bytes: body,
        ..LoadClass::new(name, effect, DEADLINE)
    };
    vec![
        class("read", 6.0, Idempotency::Safe, 0),
        class("settle", 2.0, Idempotency::Keyed(DeduplicationScope::Group, WINDOW), 20),
        class("pay", 2.0, Idempotency::NonIdempotent, 20),
    ]
}

fn config(proxy: SocketAddr, discovery: SocketAddr) -> String {
    let deadline = DEADLINE.as_secs_f64();
    let window = WINDOW.secs();
    let ramp = RAMP.secs();
    let grace = GRACE.secs();
    let over = PUSH.window.secs();
    let multiple = PUSH.multiple;
    format!(
        r#"# The operators' file of `shaletide demo`.
[[listener]]
address = "{proxy}"

[limits]
descriptors = 512
head_timeout = "1min"               # its clients keep connections that they seldom use

[rules]
cold_from = {COLD_FROM}
ramp = "{ramp}s"
fall_multiple = {multiple:.1}
fall_window = "{over}s"
drain_grace = "{grace}s"

[[class]]
name = "read"
effect = "safe"
deadline = "{deadline}s"

[[class]]
name = "settle"
effect = "keyed"
key_scope = "bay"
key_window = "{window}s"
deadline = "{deadline}s"

[[class]]
name = "pay"
effect = "unsafe"
deadline = "{deadline}s"

[[pool]]
name = "hall"
discovery = "{discovery}"
discovery_mode = "push"

[answers]
never_ran = [
  {{ status = 503, header = "X-Unprocessed", value = "1" }},
  {{ status = 504, header = "X-Unprocessed", value = "1" }},
]
"#
    )
}

#[cfg(test)]
mod tests;
