//! The stand-ins around the proxy in the demo, and the proxy's operators' file.

use shaletide_balancer::{DeduplicationScope, Idempotency, Micros};
use shaletide_testkit::*;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpSocket;

/// The load, in requests per second.
pub const RATE: f64 = 350.0;
/// The mean work of a request, in ms of a standard core.
const WORK_MS: f64 = 16.0;
/// The server types: name, number of backends, and speed of their one core.
const SERVER_TYPES: [(&str, u32, f64); 2] = [("fast", 4, 2.0), ("slow", 4, 1.0)];
/// The clients' deadline.
pub const DEADLINE: Duration = Duration::from_secs(5);
/// How long a draining backend accepts new requests.
pub const DRAIN_GRACE: Micros = Micros(2_000_000);
/// The deduplication window of the class `settle`.
pub const KEY_WINDOW: Micros = Micros(8_000_000);
/// The fraction of its speed that a backend has when it starts.
pub const COLD_FROM: f64 = 0.3;
/// How long a started backend takes to reach its full speed.
pub const RAMP: Micros = Micros(3_000_000);
/// The most load that a cold backend may be sent.
pub const PUSH: checks::SlowStartLimit =
    checks::SlowStartLimit { multiple: 3.0, window: Micros(1_000_000), slack: 0.1 };

/// The running stand-ins.
pub struct Environment {
    pub fleet: Fleet,
    pub discovery: ListServer,
    /// Where the proxy listens.
    pub proxy: SocketAddr,
    /// The operators' file.
    pub config: String,
    /// Reserves the proxy's port until the proxy listens on it.
    _port: TcpSocket,
}

impl Environment {
    /// Starts the backends and discovery.
    pub fn launch() -> io::Result<Environment> {
        let services = vec![Service::new("", Distribution::Even(0.5 * WORK_MS, 1.5 * WORK_MS))];
        let fleet = Fleet::with(FleetSpec { services, ..FleetSpec::new(backends()) })?;
        let entries = fleet.backends().iter().map(BackendHandle::entry).collect();
        let discovery = ListServer::start(fleet.clock(), &["demo"], entries)?;
        let port = TcpSocket::new_v4()?;
        port.set_reuseaddr(true)?;
        port.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let proxy = port.local_addr()?;
        let config = config(proxy, discovery.address(0));
        Ok(Environment { fleet, discovery, proxy, config, _port: port })
    }

    /// Returns the backend of this name.
    pub fn named(&self, name: &str) -> io::Result<&BackendHandle> {
        let found = self.fleet.backends().iter().find(|b| b.spec.name == name);
        found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, format!("no backend {name}")))
    }
}

/// Returns the backends: the first half of each server type is in deduplication group 1, the other half in group 2.
fn backends() -> Vec<BackendSpec> {
    let of_kind = |(kind, count, speed): (&'static str, u32, f64)| {
        (1..=count).map(move |n| {
            let power = CpuCapacity { cores: 1, speed, initial_capacity_fraction: COLD_FROM, ramp: RAMP };
            BackendSpec {
                kind: kind.into(),
                zone: "hall".into(),
                deduplication_group: if n <= count / 2 { 1 } else { 2 },
                drain_grace: Duration::from_micros(DRAIN_GRACE.0),
                ..BackendSpec::new(&format!("{kind}-{n}"), power)
            }
        })
    };
    SERVER_TYPES.into_iter().flat_map(of_kind).collect()
}

/// Returns the classes of the load; the operators' file has the same ones.
pub fn classes() -> Vec<LoadClass> {
    let class = |name, share, effect, body| LoadClass {
        share,
        body_bytes: body,
        ..LoadClass::new(name, effect, DEADLINE)
    };
    vec![
        class("read", 6.0, Idempotency::Safe, 0),
        class("settle", 2.0, Idempotency::Keyed(DeduplicationScope::Group, KEY_WINDOW), 20),
        class("pay", 2.0, Idempotency::NonIdempotent, 20),
    ]
}

fn config(proxy: SocketAddr, discovery: SocketAddr) -> String {
    let deadline = DEADLINE.as_secs_f64();
    let window = KEY_WINDOW.secs();
    let ramp = RAMP.secs();
    let grace = DRAIN_GRACE.secs();
    let over = PUSH.window.secs();
    let multiple = PUSH.multiple;
    format!(
        r#"# The operators' file of `shaletide demo`.
[[listener]]
address = "{proxy}"

[limits]
descriptors = 512
head_timeout = "1min"               # the clients keep connections open that they seldom use

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
