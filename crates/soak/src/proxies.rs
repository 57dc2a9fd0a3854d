//! Configures, starts and signals the processes of the program.

use crate::address::{Reservation, ReservedAddress};
use crate::artifacts::Artifacts;
use crate::control::FaultControl;
use crate::hangups::{send_recorded, Pause, SignalRecord, RECORDED_SIGNALS};
use crate::settings::RunSettings;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::json;
use shaletide_testkit::Clock;
use shaletide_types::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;

/// One process of a proxy.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    /// Index of the proxy.
    pub proxy: usize,
    /// When it was started.
    pub started_at: Time,
    /// When it was ready.
    pub ready_at: Option<Time>,
    /// When it received the first signal of its stop.
    pub stop_requested_at: Option<Time>,
    /// When it was killed, if the plan killed it.
    pub killed_at: Option<Time>,
    /// When and how it exited.
    pub exit: Option<(Time, ExitStatus)>,
    /// The SIGHUPs and SIGTERMs that it received, in order.
    pub signals: Vec<SignalRecord>,
    /// Whether it had not exited when SIGKILL was due.
    pub outlived_stop: bool,
    /// When its address was free or its configuration complete, if that was after its start.
    pub unblocked_at: Option<Time>,
    /// Its peak memory in KiB, when it was last measured.
    pub peak_memory_kib: u64,
    /// Path of its log file.
    pub log: PathBuf,
    /// The last line of its log, once the run is over.
    pub last_line: Option<String>,
}

impl ProcessRecord {
    /// Returns the record of a process that was just started.
    pub fn new(proxy: usize, started_at: Time, log: PathBuf) -> ProcessRecord {
        ProcessRecord {
            proxy,
            started_at,
            ready_at: None,
            stop_requested_at: None,
            killed_at: None,
            exit: None,
            signals: Vec::new(),
            outlived_stop: false,
            unblocked_at: None,
            peak_memory_kib: 0,
            log,
            last_line: None,
        }
    }
}

/// A proxy, with its address and configuration, across all its processes.
#[derive(Debug)]
pub struct ProxySlot {
    /// Index of the proxy, from 0.
    pub index: usize,
    /// Its address, reserved while no process listens.
    reserved: ReservedAddress,
    config: PathBuf,
    /// The two addresses of discovery; a reload moves it from one to the other.
    discovery: [SocketAddr; 2],
    state: Mutex<SlotState>,
}

#[derive(Debug)]
struct SlotState {
    moves: usize,
    known: serde_json::Value,
    pid: Option<u32>,
    starts: usize,
    /// The SIGHUPs and SIGTERMs that each process received, by PID.
    signals: BTreeMap<u32, Vec<SignalRecord>>,
    /// Processes that the plan has paused with SIGSTOP.
    stopped: BTreeSet<u32>,
}

/// The parameters that all processes of a run share.
#[derive(Debug)]
pub struct ProcessContext<'a> {
    /// The program and the shim.
    pub artifacts: &'a Artifacts,
    /// Controls their system call faults.
    pub control: &'a FaultControl,
    /// Folder for configurations and logs.
    pub folder: &'a Path,
    /// The run's clock.
    pub clock: Clock,
    /// Number of proxies.
    pub proxies: usize,
    /// Whether the proxies poll discovery; otherwise an agent pushes the lists.
    pub polls_discovery: bool,
    /// The run's seed.
    pub seed: u64,
    /// The settings of all proxies.
    pub settings: RunSettings,
}

impl ProxySlot {
    /// Returns a proxy that is not started yet. `known`: the cached endpoint list in its configuration.
    ///
    /// # Errors
    /// No port can be reserved.
    pub fn new(
        index: usize, folder: &Path, discovery: [SocketAddr; 2], known: serde_json::Value,
        reservation: Reservation,
    ) -> io::Result<ProxySlot> {
        let state = SlotState {
            moves: 0,
            known,
            pid: None,
            starts: 0,
            signals: BTreeMap::new(),
            stopped: BTreeSet::new(),
        };
        let config = folder.join(format!("p{index}.json"));
        let reserved = ReservedAddress::reserve(reservation)?;
        Ok(ProxySlot { index, reserved, config, discovery, state: Mutex::new(state) })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.reserved.address()
    }

    /// Returns the reservation of its address.
    pub fn reserved(&self) -> &ReservedAddress {
        &self.reserved
    }

    fn state(&self) -> std::sync::MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn config_text(&self, context: &ProcessContext, state: &SlotState) -> String {
        let seed = format!("{:x}", context.seed.wrapping_mul(31) + state.starts as u64);
        let config = json!({
            "name": format!("p{}", self.index), "listen": self.address().to_string(), "seed": seed,
            "discovery": self.discovery[state.moves % 2].to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": context.settings.max_descriptors},
            "known": {"index": 0, "snapshot": true, "endpoints": state.known},
            "settings": context.settings.platform(self.index, context.proxies, context.polls_discovery),
        });
        config.to_string()
    }

    fn write_config(&self, context: &ProcessContext, state: &SlotState) -> io::Result<()> {
        let next = self.config.with_extension("next");
        std::fs::write(&next, self.config_text(context, state))?;
        std::fs::rename(&next, &self.config)
    }

    /// Writes the complete configuration.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn complete_config(&self, context: &ProcessContext) -> io::Result<()> {
        self.write_config(context, &self.state())
    }

    /// Starts a process with a complete configuration, or with one that is truncated in the middle.
    ///
    /// # Errors
    /// The process cannot be started, or a file cannot be written.
    pub fn start(
        &self, context: &ProcessContext, is_config_complete: bool,
    ) -> io::Result<(Child, ProcessRecord)> {
        let mut state = self.state();
        state.starts += 1;
        if is_config_complete {
            self.write_config(context, &state)?;
        } else {
            let text = self.config_text(context, &state);
            std::fs::write(&self.config, &text[..text.len() / 2])?;
        }
        let log = context.folder.join(format!("p{}-{}.log", self.index, state.starts));
        let mut command = Command::new(&context.artifacts.program);
        command.arg("--self-check").env("NODE_CONFIG", &self.config);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(File::create(&log)?);
        let seed = context.seed * 1000 + (self.index * 10 + state.starts) as u64;
        context.control.preload(&mut command, &context.artifacts.shim, seed, None);
        let child = command.spawn()?;
        state.pid = Some(child.id());
        Ok((child, ProcessRecord::new(self.index, context.clock.now(), log)))
    }

    /// Forgets a process that has exited, so that no further signal is sent to its PID.
    pub fn forget(&self, pid: u32) {
        let mut state = self.state();
        state.stopped.remove(&pid);
        if state.pid == Some(pid) {
            state.pid = None;
        }
    }

    /// Returns the index of the address to which the next move takes discovery.
    pub fn next_discovery(&self) -> usize {
        (self.state().moves + 1) % 2
    }

    /// Moves discovery to its other address, and sends the process SIGHUP.
    ///
    /// # Errors
    /// The configuration cannot be written.
    pub fn move_discovery(&self, context: &ProcessContext) -> io::Result<()> {
        let mut state = self.state();
        state.moves += 1;
        self.write_config(context, &state)?;
        drop(state);
        self.signal(Signal::SIGHUP, context.clock);
        Ok(())
    }

    /// Sends a signal to the current process, if there is one.
    pub fn signal(&self, signal: Signal, clock: Clock) {
        let pid = self.state().pid;
        if let Some(pid) = pid {
            self.signal_process(pid, signal, clock);
        }
    }

    /// Sends a signal to one of the proxy's processes, and records SIGHUP and SIGTERM. Signals of one proxy are serialized, so
    /// that a process which the plan pauses meanwhile stays paused.
    pub fn signal_process(&self, pid: u32, signal: Signal, clock: Clock) {
        let mut state = self.state();
        match signal {
            _ if RECORDED_SIGNALS.contains(&signal) => return state.send_recorded(signal, pid, clock),
            Signal::SIGSTOP => {
                state.stopped.insert(pid);
            }
            Signal::SIGCONT => {
                state.stopped.remove(&pid);
            }
            _ => {}
        }
        let _ = kill(Pid::from_raw(pid as i32), signal); // it may have ended
    }

    /// Takes the records of the SIGHUPs and SIGTERMs that a process received, in order. They are removed because a later
    /// process may have the same PID.
    pub fn take_signals(&self, pid: u32) -> Vec<SignalRecord> {
        self.state().signals.remove(&pid).unwrap_or_default()
    }
}

impl SlotState {
    fn send_recorded(&mut self, signal: Signal, pid: u32, clock: Clock) {
        let pause = if self.stopped.contains(&pid) { Pause::Stopped } else { Pause::Running };
        let record = send_recorded(signal, pid, pause, clock);
        self.signals.entry(pid).or_default().push(record);
    }
}

/// Returns the peak memory of a process so far, in KiB; 0 if it has exited.
pub fn peak_memory_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    peak.and_then(|peak| peak.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}
