//! The record of a run: one sample a line, as JSON, in no particular order. Times are microseconds since
//! the run's start, by the lab's clock.
//!
//! Written by whatever ran the experiment, read by [`crate::judge`] and [`crate::report`]. Bounded: a line has at most
//! [`MAX_LINE`] bytes and a run at most [`MAX_SAMPLES`] samples; a run with more is void.

mod lines;

pub use lines::{read, write, SamplesError};

use serde::{Deserialize, Serialize};

/// Maximum length of a line without its line break, bytes.
pub const MAX_LINE: usize = 64 * 1024;

/// Maximum number of samples of a run. One takes about 200 bytes of memory: 800 MB in all.
pub const MAX_SAMPLES: usize = 4_000_000;

/// The effect of a second execution of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// None.
    Safe,
    /// None where its key is known: within its deduplication group and window.
    Keyed,
    /// Harm: it must run once at most.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// A class of requests; its index in [`Sample::Run`] is its number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassInfo {
    /// Its name.
    pub name: String,
    /// Its idempotency.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// The deadline within which a proxy must answer, as configured.
    pub deadline_us: u64,
    /// Its latency objective.
    #[serde(rename = "aim_us")]
    pub latency_objective_us: u64,
    /// Its priority weight.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Its deduplication window; 0 where its requests have no key.
    #[serde(default)]
    pub window_us: u64,
}

/// The capacity of a backend, as in [`shaletide_testkit::CpuCapacity`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PowerInfo {
    /// Cores.
    pub cores: u32,
    /// Work done in a second by a warm core, in seconds of a standard core.
    pub speed: f64,
    /// The fraction of its speed that it starts with.
    #[serde(rename = "cold_from")]
    pub initial_capacity_fraction: f64,
    /// How long its warm-up takes.
    pub ramp_us: u64,
}

/// An event of a proxy's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum ProcessEvent {
    /// It was started.
    Started,
    /// It answered that it is ready.
    Ready,
    /// It was sent `SIGKILL`.
    Killed,
    /// It was sent `SIGTERM`.
    Termed,
    /// It was sent `SIGSTOP`.
    Stopped,
    /// It was sent `SIGCONT`.
    Continued,
    /// It has ended.
    Exited {
        /// Its exit code; none after a signal.
        code: Option<i32>,
    },
    /// It was sent `SIGHUP`, to reload its configuration.
    Reloaded,
}

/// How a try ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "how", rename_all = "snake_case")]
#[non_exhaustive]
pub enum TryEnd {
    /// A complete response with status 200.
    Served,
    /// Rejected as not executed: 429 or 503.
    Refused {
        /// The response's status.
        status: u16,
    },
    /// Any other complete response.
    Failed {
        /// The response's status.
        status: u16,
    },
    /// The connection ended without a complete response.
    Broken,
    /// The deadline passed without a complete response.
    Silent,
    /// No proxy accepted the connection.
    NotTaken,
}

impl TryEnd {
    /// Whether a complete response was received, of whatever status.
    pub fn answered(self) -> bool {
        matches!(self, TryEnd::Served | TryEnd::Refused { .. } | TryEnd::Failed { .. })
    }
}

/// How a request ended at a backend, as in [`shaletide_testkit::Ended`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum BackendEnd {
    /// Its response was written completely.
    Served,
    /// Rejected: the one end that proves that it was not executed.
    #[serde(rename = "turned_away")]
    Rejected,
    /// It was answered 500.
    Failed,
    /// The proxy closed its connection first.
    Cancelled,
    /// It was never answered.
    Hung,
    /// Its connection was reset.
    Reset,
    /// Bytes that are no valid response were sent.
    #[serde(rename = "spoilt")]
    InvalidResponse,
    /// The backend died while it was in flight.
    #[serde(rename = "box_died")]
    BackendDied,
    /// It was in flight at the run's end.
    Open,
}

impl BackendEnd {
    /// Whether it was executed, or may have been.
    pub fn ran(self) -> bool {
        self != BackendEnd::Rejected
    }
}

/// The targets of a fault. All empty: they are not recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Touched {
    /// Proxies by number.
    pub proxies: Vec<u32>,
    /// Backends by number.
    #[serde(rename = "boxes")]
    pub backends: Vec<u32>,
    /// Links by name.
    pub links: Vec<String>,
    /// The list service.
    pub list: bool,
    /// Proxies whose connections with their clients are faulty: their missing responses are not judged.
    pub clients_of: Vec<u32>,
}

/// One observation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
#[non_exhaustive]
pub enum Sample {
    /// The experiment that was run. Once, first.
    Run {
        /// The experiment's name.
        name: String,
        /// The seed of all random numbers of the run.
        seed: u64,
        /// Proxies, numbered from 0.
        proxies: u32,
        /// Backends, numbered from 0.
        #[serde(rename = "boxes")]
        backends: u32,
        /// The classes, by number.
        classes: Vec<ClassInfo>,
        /// Cores of the machine.
        cores: u32,
        /// Version and build profile.
        build: String,
        /// The command that repeats the run.
        #[serde(default)]
        command: String,
        /// Names of the zones, by number.
        #[serde(default)]
        zones: Vec<String>,
        /// The duration of the experiment; 0 if unknown.
        #[serde(default)]
        lasts_us: u64,
    },
    /// A backend. Once for each.
    #[serde(rename = "box")]
    Backend {
        /// Its number.
        #[serde(rename = "at_box")]
        backend: u32,
        /// Its name, as lists give it.
        name: String,
        /// Its deduplication group: backends of one group share seen keys.
        #[serde(rename = "bay")]
        deduplication_group: u32,
        /// Its server type.
        kind: String,
        /// Its zone.
        zone: u32,
        /// Its capacity; without it, overload during warm-up is not detected.
        #[serde(default)]
        power: Option<PowerInfo>,
    },
    /// A start of a backend. The first start of a backend that ran before the experiment may be left out.
    Boot {
        /// The backend.
        #[serde(rename = "at_box")]
        backend: u32,
        /// Which of its starts, from 0.
        boot: u32,
        /// When; none if it was before the run, long enough to be warm.
        at_us: Option<u64>,
        /// When it was killed, if it was.
        #[serde(default)]
        died_us: Option<u64>,
    },
    /// An event of a proxy's process.
    Process {
        /// When.
        at_us: u64,
        /// Which.
        proxy: u32,
        /// What.
        what: ProcessEvent,
    },
    /// A step of the timeline that service may suffer from.
    Fault {
        /// When it began.
        at_us: u64,
        /// Its name in the experiment: no two share one.
        label: String,
        /// When it ends, if it does.
        ends_us: Option<u64>,
        /// Its targets.
        #[serde(default)]
        touches: Touched,
    },
    /// A try of a request by its client, when it is over.
    Try {
        /// The request: the number of its first try. No two requests share one.
        request: u64,
        /// Which try of it, from 0.
        nth: u8,
        /// The correlation id sent to proxy and backend. No two tries share one.
        id: String,
        /// Its class.
        class: u32,
        /// Its tenant, if it has one.
        tenant: Option<u32>,
        /// The zone of its client.
        zone: u32,
        /// The proxy that its connection led to, if one accepted it.
        proxy: Option<u32>,
        /// When it was due: in an open loop, time spent waiting to send counts.
        asked_us: u64,
        /// When it ended.
        ended_us: u64,
        /// Its deadline.
        deadline_us: u64,
        /// How it ended.
        end: TryEnd,
    },
    /// An execution of a request, as recorded by its backend.
    #[serde(rename = "box_run")]
    BackendRun {
        /// The backend.
        #[serde(rename = "at_box")]
        backend: u32,
        /// Which of its starts, from 0.
        boot: u32,
        /// Its correlation id; empty if it had none, as with probes.
        id: String,
        /// Its key, if it has one.
        key: Option<String>,
        /// Its class.
        class: u32,
        /// When its first byte was received, if known.
        #[serde(default)]
        came_us: Option<u64>,
        /// When it was received completely.
        began_us: u64,
        /// When it ended; none while it is in flight.
        ended_us: Option<u64>,
        /// How it ended.
        end: BackendEnd,
        /// Since when the backend was draining, if it was.
        draining_since_us: Option<u64>,
        /// Its work, ms of a standard core.
        work_ms: f64,
    },
    /// Counts of a backend over one second.
    #[serde(rename = "box_second")]
    BackendSecond {
        /// The start of the second.
        at_us: u64,
        /// The backend.
        #[serde(rename = "at_box")]
        backend: u32,
        /// Connections open at its end.
        open: u32,
        /// Connections opened in it.
        handshakes: u32,
        /// Requests received in it.
        requests: u32,
    },
    /// Counts of the list service over one second.
    ListSecond {
        /// The start of the second.
        at_us: u64,
        /// Calls in it.
        calls: u32,
    },
    /// The list service notified a proxy of a backend's state.
    #[serde(rename = "told")]
    EndpointUpdate {
        /// When.
        at_us: u64,
        /// Which proxy.
        proxy: u32,
        /// Which backend.
        #[serde(rename = "at_box")]
        backend: u32,
        /// `draining`, `gone`, or `serving`.
        state: String,
    },
    /// Counts of a link over one second.
    LinkSecond {
        /// The start of the second.
        at_us: u64,
        /// Its name.
        link: String,
        /// Bytes that it delivered.
        passed_bytes: u64,
        /// Those of them that it delivered in a direction that was cut.
        passed_while_cut: u64,
    },
    /// Measurements of the lab itself over one second.
    Lab {
        /// The start of the second.
        at_us: u64,
        /// The worst lateness of its own pacing.
        late_us: u64,
        /// Processor time that the lab used in it.
        cpu_ms: u64,
        /// Processor time that all proxies used in it.
        fleet_cpu_ms: u64,
    },
    /// The clients' own counters, independent of the samples of tries. At most once, at the end.
    Totals {
        /// Tries that ended.
        tries: u64,
        /// Those served.
        served: u64,
        /// Those refused.
        refused: u64,
    },
    /// A line of a proxy's log.
    Log {
        /// When it was read.
        at_us: u64,
        /// Which proxy.
        proxy: u32,
        /// The line.
        line: String,
    },
    /// The reason why the run is void.
    Void {
        /// The reason.
        reason: String,
    },
}

impl Sample {
    /// When it ended or was observed; none for samples without a time.
    pub fn at_us(&self) -> Option<u64> {
        match self {
            Sample::Process { at_us, .. }
            | Sample::Fault { at_us, .. }
            | Sample::BackendSecond { at_us, .. }
            | Sample::ListSecond { at_us, .. }
            | Sample::EndpointUpdate { at_us, .. }
            | Sample::LinkSecond { at_us, .. }
            | Sample::Lab { at_us, .. }
            | Sample::Log { at_us, .. } => Some(*at_us),
            Sample::Try { ended_us, .. } => Some(*ended_us),
            Sample::BackendRun { began_us, ended_us, .. } => Some(ended_us.unwrap_or(*began_us)),
            Sample::Boot { at_us, .. } => *at_us,
            Sample::Run { .. } | Sample::Backend { .. } | Sample::Totals { .. } | Sample::Void { .. } => None,
        }
    }
}
