//! The words that every part of shaletide shares: time, ids, outcomes, effects, a line of the backend list.
//! Plain values, no decisions.

/// An error with all that lies under it, on one line.
pub fn causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text += &format!(": {cause}");
        source = cause.source();
    }
    text
}

/// A point in time, in microseconds of the host's clock; it begins at no particular value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A span of time in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

impl std::ops::Add<Micros> for Time {
    type Output = Time;
    fn add(self, span: Micros) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl std::ops::Sub for Time {
    type Output = Micros;
    /// The span since `earlier`; zero where that lies ahead.
    fn sub(self, earlier: Time) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Sub<Micros> for Time {
    type Output = Time;
    fn sub(self, span: Micros) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Micros {
    /// The span of so many seconds; negative ones give zero.
    pub fn from_secs(secs: f64) -> Micros {
        Micros((secs * 1e6) as u64)
    }
    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The span times a factor; negative factors give zero.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}

/// Times by wall clocks are believed up to this error, all machines' errors taken together: two steps of an hour. Whatever
/// a rule rests on goes by the monotonic clock, or keeps this distance.
pub const MAX_WALL_CLOCK_ERROR: Micros = Micros(2 * 3_600_000_000);

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// One client request; never used again.
    RequestId(u64);
    /// One server process's address, numbered by the host.
    BackendId(u32);
    /// A place in the network.
    ZoneId(u32);
    /// A handful of backends that share which keys they have seen.
    CellId(u64);
    /// A named set of backends with a decision module of its own.
    PoolId(u32);
    /// A sort of machine: backends of one kind are taken as equally fast.
    KindId(u32);
    /// Index into the configured classes.
    ClassId(usize);
    /// Index into the configured tenants.
    TenantId(usize);
    /// Number of an attempt within its request, from 0 in the order of dispatch.
    AttemptNo(u32);
    /// A connection to a backend; never used again.
    ConnId(u64);
    /// Names a timer to its owner.
    TimerToken(u64);
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Nothing: it may be repeated and refused at will.
    Free,
    /// The backends of one scope discard repeats for a time after the first send.
    Keyed(KeyScope, Micros),
    /// A second run does harm.
    Unsafe,
}

/// Which backends discard each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A line of the backend list.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Which backend.
    pub id: BackendId,
    /// A number drawn from its address, the same at every proxy.
    pub mark: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Boxes of different realms never drop each other's repeats, whatever their zones and cells.
    pub realm: u32,
    /// Its kind.
    pub kind: KindId,
    /// How many cores it has; what it may hold grows with it.
    pub cores: u32,
    /// The weight that the list gives it, in thousandths; 0 where the list says none.
    pub weight: u32,
    /// What it may be sent.
    pub state: BackendState,
    /// When it last started; `None` means long ago.
    pub booted: Option<Time>,
}

impl Default for Backend {
    /// Number 0 of everything, one core, gone, booted long ago.
    fn default() -> Backend {
        Backend {
            id: BackendId(0),
            mark: 0,
            zone: ZoneId(0),
            cell: CellId(0),
            realm: 0,
            kind: KindId(0),
            cores: 1,
            weight: 0,
            state: BackendState::Gone,
            booted: None,
        }
    }
}

/// What a backend may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum BackendState {
    /// Requests.
    Ready,
    /// Nothing new: it finishes what it has.
    Draining,
    /// Nothing: it has left.
    #[default]
    Gone,
}

/// What a backend says of its own load in an answer, as it came: anything may be said.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds.
    pub in_flight: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
    /// How long serving one took lately, ms.
    pub latency_ms: Option<f64>,
}

impl LoadReport {
    /// Reads `TEXT name=value, name=value`, by the names that the field and the platform have for the three; what
    /// is unknown or no number is passed over, and so is all beyond the first [`LoadReport::MOST`] bytes.
    pub fn read(text: &str) -> LoadReport {
        let mut report = LoadReport::default();
        let end = (0..=text.len().min(LoadReport::MOST)).rev().find(|at| text.is_char_boundary(*at));
        let Some(said) = text[..end.unwrap_or(0)].trim_start().strip_prefix("TEXT") else { return report };
        for (name, value) in said.split(',').filter_map(|part| part.split_once('=')) {
            let value = value.trim().parse().ok();
            match name.trim() {
                "inflight" | "active" => report.in_flight = value,
                "eps" | "err_rps" => report.errors_per_s = value,
                "latency_ms" | "avg_ms" => report.latency_ms = value,
                _ => {}
            }
        }
        report
    }

    /// A report is looked at so far, in bytes.
    pub const MOST: usize = 512;
}

/// What sort of news about the list this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ListUpdate {
    /// The entries that changed.
    Changes,
    /// The whole list; what is absent is gone.
    Full,
    /// The whole list as it was before a restart, perhaps out of date.
    Cached,
    /// The call or the subscription failed; the list held stays.
    Lost,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error answer; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent)
    }
}
