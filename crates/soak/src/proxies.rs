//! Processes of the program: their configuration, their start, their signals and their ends.

use crate::artifacts::Artifacts;
use crate::control::FaultControl;
use serde_json::json;
use shaletide_base::Time;
use shaletide_testkit::{Clock, Refusing};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;

/// The longest deadline of all classes, µs.
pub const LONGEST_DEADLINE_US: u64 = 1_500_000;
/// A repeat of a keyed request begins within so long of its first run, µs.
pub const WINDOW_US: u64 = 500_000;
/// Nothing new may go to a backend so long after its drain was told, µs.
pub const DRAIN_GRACE_US: u64 = 2_000_000;
/// A backend that gets more in this time than it is allowed falls over, µs.
pub const FALL_WINDOW_US: u64 = 2_000_000;
/// What it is allowed, as a multiple of what it can do.
pub const FALL_MULTIPLE: f64 = 1.2;
/// The part of its speed that a backend starts with.
pub const COLD_FROM: f64 = 0.3;
/// A backend is warm after so long, µs.
pub const RAMP_US: u64 = 6_000_000;

/// The file descriptors that a proxy may hold.
pub const SOCKETS: usize = 256;

/// The settings of a proxy of that place among so many.
pub fn settings(place: usize, proxies: usize, asks_discovery: bool) -> serde_json::Value {
    let discovery = if asks_discovery { "subscribe" } else { "automatic" };
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim_us": 500_000, "deadline_us": LONGEST_DEADLINE_US, "effect": effect,
            "key_scope": "cell", "window_us": WINDOW_US, "gain": 1.0, "late_worth": 0.5})
    };
    json!({
        "blend": {"whole": 0.6, "worst_class": 0.2}, "costs": {"cross_zone": 0.0},
        "customers": [{"name": "north", "quota_rps": 100_000.0}], "discovery": discovery,
        "position": place, "group_size": proxies, "granularity_us": 5_000, "kinds": ["big"],
        "my_zone": "east", "zones": ["east"], "over_share_worth": 0.1,
        "limits": {"cancel": true, "max_attempts": 4, "parallel_tries": true, "dial_timeout_us": 250_000,
            "conn_idle_us": 10_000_000, "max_retry_after_us": 1_000_000},
        "profiles": [class("read", "free"), class("pay", "single_shot"), class("vote", "guarded")],
        "rules": {"cold_from": COLD_FROM, "fall_multiple": FALL_MULTIPLE, "must_ask_in_us": 9_000_000,
            "ramp_time_us": RAMP_US, "tip_after_us": FALL_WINDOW_US, "stop_sending_within_us": DRAIN_GRACE_US}
    })
}

/// One process of a proxy.
#[derive(Clone, Debug)]
pub struct Life {
    /// Which proxy.
    pub proxy: usize,
    /// When it was started.
    pub started: Time,
    /// When it was ready.
    pub ready: Option<Time>,
    /// When it was told to end.
    pub stopped: Option<Time>,
    /// When it was killed, if the plan had it so.
    pub killed: Option<Time>,
    /// How it ended.
    pub ended: Option<(Time, ExitStatus)>,
    /// It was still there when SIGKILL was due.
    pub outlived_its_stop: bool,
    /// The file with its log.
    pub log: PathBuf,
}

/// A proxy through all its processes.
#[derive(Debug)]
pub struct ProxySlot {
    /// Its place.
    pub place: usize,
    /// Holds its address while no process listens there.
    door: Refusing,
    config: PathBuf,
    /// The two addresses of discovery that it may be told.
    discovery: [SocketAddr; 2],
    state: Mutex<SlotState>,
}

#[derive(Debug)]
struct SlotState {
    moves: usize,
    known: serde_json::Value,
    process: Option<u32>,
    lives: usize,
}

/// What all processes of a run share.
#[derive(Debug)]
pub struct Setting<'a> {
    /// The program and the shim.
    pub artifacts: &'a Artifacts,
    /// The faults of their system calls.
    pub control: &'a FaultControl,
    /// Where configurations and logs are written.
    pub folder: &'a Path,
    /// The run's clock.
    pub clock: Clock,
    /// How many proxies there are.
    pub proxies: usize,
    /// Discovery is asked, not an agent that pushes.
    pub asks_discovery: bool,
    /// The run's seed.
    pub seed: u64,
}

impl ProxySlot {
    /// A proxy that is not started yet; `known`: the entries of its list from before.
    pub fn new(
        place: usize, folder: &Path, discovery: [SocketAddr; 2], known: serde_json::Value,
    ) -> ProxySlot {
        let state = SlotState { moves: 0, known, process: None, lives: 0 };
        let config = folder.join(format!("p{place}.json"));
        ProxySlot { place, door: Refusing::new(), config, discovery, state: Mutex::new(state) }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.door.address()
    }

    fn state(&self) -> std::sync::MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn write_config(&self, setting: &Setting, state: &SlotState) -> io::Result<()> {
        let seed = format!("{:x}", setting.seed.wrapping_mul(31) + state.lives as u64);
        let config = json!({
            "name": format!("p{}", self.place), "listen": self.address().to_string(), "seed": seed,
            "discovery": self.discovery[state.moves % 2].to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
            "known": {"index": 0, "snapshot": true, "endpoints": state.known},
            "settings": settings(self.place, setting.proxies, setting.asks_discovery),
        });
        let next = self.config.with_extension("next");
        std::fs::write(&next, config.to_string())?;
        std::fs::rename(&next, &self.config)
    }

    /// Starts a process.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start(&self, setting: &Setting) -> io::Result<(Child, Life)> {
        let mut state = self.state();
        state.lives += 1;
        self.write_config(setting, &state)?;
        let log = setting.folder.join(format!("p{}-{}.log", self.place, state.lives));
        let mut command = Command::new(&setting.artifacts.program);
        command.arg("--self-check").env("NODE_CONFIG", &self.config);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(File::create(&log)?);
        let seed = setting.seed * 1000 + (self.place * 10 + state.lives) as u64;
        setting.control.preload(&mut command, &setting.artifacts.shim, seed, None);
        let child = command.spawn()?;
        state.process = Some(child.id());
        let life = Life {
            proxy: self.place,
            started: setting.clock.now(),
            ready: None,
            stopped: None,
            killed: None,
            ended: None,
            outlived_its_stop: false,
            log,
        };
        Ok((child, life))
    }

    /// Its process has ended, and is sent nothing any more.
    pub fn ended(&self) {
        self.state().process = None;
    }

    /// Discovery moves to its other address, and the process is told.
    ///
    /// # Errors
    /// The configuration cannot be written.
    pub fn move_discovery(&self, setting: &Setting) -> io::Result<()> {
        let mut state = self.state();
        state.moves += 1;
        self.write_config(setting, &state)?;
        drop(state);
        self.signal("HUP");
        Ok(())
    }

    /// Sends its process the signal of that name, if there is one.
    pub fn signal(&self, name: &str) {
        if let Some(process) = self.state().process {
            let _ = Command::new("kill").args(["-s", name, &process.to_string()]).status();
        }
    }
}
