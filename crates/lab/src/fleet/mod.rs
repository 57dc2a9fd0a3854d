//! The proxies: real processes, each under a guard, with its own address, directory and log. They are
//! started, signalled and observed from one thread; all end when [`Processes`] is dropped, and with the lab's own
//! process however that ends.

mod files;
pub mod guard;
mod place;
mod process;
mod ready;

pub use files::{operator, ProxySettings};
pub use place::{Addresses, ReservedPort};
pub use process::{runs, MAX_LOG_LINE, MAX_LOG_LINES};
pub use ready::is_ready;

use crate::experiment::Signal;
use crate::samples::ProcessEvent;
use process::{Launch, Process, ProcessMessage};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout for a guard to end its process.
const PATIENCE: Duration = Duration::from_secs(5);

/// What a guard or a readiness check reports of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessReport {
    /// Its process id.
    Pid(u32),
    /// It is ready.
    Ready,
    /// It ended, with a code or by a signal.
    Exited(Option<i32>),
    /// A line of its log.
    Log(String),
}

/// An event of a proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// Of its process.
    Process(ProcessEvent),
    /// A line of its log.
    Log(String),
}

/// One proxy, up or down.
#[derive(Debug)]
struct Proxy {
    port: ReservedPort,
    directory: PathBuf,
    /// The text of its configuration file.
    file: String,
    process: Option<Process>,
    /// Counts starts and ends: a thread that watches a process ends when this changes.
    lives: Arc<AtomicU32>,
    ready: bool,
    /// The start that is due as soon as the process is down.
    wanted: Option<Start>,
}

#[derive(Clone, Copy, Debug)]
struct Start {
    fresh: bool,
}

/// How the processes are run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The lab's own executable, which runs the guards.
    pub lab: PathBuf,
    /// The executable under test.
    pub program: PathBuf,
    /// File descriptor limit of each process.
    pub descriptors: u64,
    /// A process that has not ended so long after SIGTERM is killed.
    pub kill_after: Duration,
}

/// All proxies of a run.
#[derive(Debug)]
pub struct Processes {
    settings: Settings,
    proxies: Vec<Proxy>,
    sender: Sender<ProcessMessage>,
    messages: Receiver<ProcessMessage>,
    seen: Vec<(Instant, usize, Seen)>,
}

impl Processes {
    /// Proxies on these reserved ports, each with a directory below `root`; none is started yet.
    ///
    /// # Errors
    /// A directory cannot be made.
    pub fn new(
        settings: Settings, ports: Vec<ReservedPort>, root: &std::path::Path,
    ) -> io::Result<Processes> {
        let mut proxies = Vec::new();
        for (number, port) in ports.into_iter().enumerate() {
            let directory = root.join(format!("p{number}"));
            fs::create_dir_all(&directory)?;
            let directory = directory.canonicalize()?;
            let (lives, file) = (Arc::new(AtomicU32::new(0)), String::new());
            proxies.push(Proxy { port, directory, file, process: None, lives, ready: false, wanted: None });
        }
        let (sender, messages) = mpsc::channel();
        Ok(Processes { settings, proxies, sender, messages, seen: Vec::new() })
    }

    /// The listen address of a proxy.
    pub fn address(&self, proxy: usize) -> SocketAddr {
        self.proxies[proxy].port.address
    }

    /// Sets the configuration that a proxy reads at its next start.
    pub fn set_file(&mut self, proxy: usize, text: String) {
        self.proxies[proxy].file = text;
    }

    /// Starts a process that is down; one that was signalled to end is started once it has. No effect on one that is up.
    ///
    /// # Errors
    /// Its file could not be written, or its process not be started.
    pub fn start(&mut self, proxy: usize, fresh: bool) -> io::Result<()> {
        let one = &mut self.proxies[proxy];
        if let Some(process) = &one.process {
            one.wanted = process.ending.then_some(Start { fresh });
            return Ok(());
        }
        one.wanted = None;
        if fresh {
            fs::remove_dir_all(&one.directory)?;
            fs::create_dir_all(&one.directory)?;
        }
        fs::write(one.directory.join("operator.toml"), &one.file)?;
        let life = one.lives.fetch_add(1, Ordering::Relaxed) + 1;
        let launch = Launch {
            lab: &self.settings.lab,
            program: &self.settings.program,
            directory: &one.directory,
            descriptors: self.settings.descriptors,
        };
        one.process = Some(Process::start(launch, proxy, life, &self.sender)?);
        one.ready = false;
        ready::watch(one.port.address, proxy, life, one.lives.clone(), self.sender.clone());
        self.seen.push((Instant::now(), proxy, Seen::Process(ProcessEvent::Started)));
        Ok(())
    }

    /// Signals a process, if it is up. After SIGKILL or SIGTERM it stays down until it is started.
    pub fn signal(&mut self, proxy: usize, signal: Signal) {
        let one = &mut self.proxies[proxy];
        if matches!(signal, Signal::Kill | Signal::Term) {
            one.wanted = None;
        }
        self.send(proxy, signal);
    }

    fn send(&mut self, proxy: usize, signal: Signal) {
        let Some(process) = &mut self.proxies[proxy].process else { return };
        let event = match signal {
            Signal::Kill => {
                process.order("KILL");
                process.ending = true;
                ProcessEvent::Killed
            }
            Signal::Term => {
                process.order("TERM");
                process.ending = true;
                process.termed.get_or_insert_with(Instant::now);
                ProcessEvent::Termed
            }
            Signal::Stop => {
                process.order("STOP");
                process.stopped = true;
                ProcessEvent::Stopped
            }
            Signal::Continue if process.stopped => {
                process.order("CONT");
                process.stopped = false;
                ProcessEvent::Continued
            }
            Signal::Continue => return,
        };
        self.seen.push((Instant::now(), proxy, Seen::Process(event)));
    }

    /// Reloads a process with that file; one that is down reads it at its next start.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn reload(&mut self, proxy: usize, file: String) -> io::Result<()> {
        let one = &mut self.proxies[proxy];
        one.file = file;
        let Some(process) = &mut one.process else { return Ok(()) };
        let next = one.directory.join("operator.next");
        fs::write(&next, &one.file)?;
        fs::rename(&next, one.directory.join("operator.toml"))?;
        process.order("HUP");
        self.seen.push((Instant::now(), proxy, Seen::Process(ProcessEvent::Reloaded)));
        Ok(())
    }

    /// Handles reports, starts processes that are due and kills those that did not end in time. To be called often.
    ///
    /// # Errors
    /// A process that was due could not be started.
    pub fn tick(&mut self) -> io::Result<()> {
        while let Ok(message) = self.messages.try_recv() {
            self.handle_message(message);
        }
        for proxy in 0..self.proxies.len() {
            let (one, after) = (&mut self.proxies[proxy], self.settings.kill_after);
            let late = |p: &Process| p.termed.is_some_and(|at| at.elapsed() > after);
            if one.process.as_ref().is_some_and(late) {
                if let Some(process) = &mut one.process {
                    process.termed = None;
                }
                self.send(proxy, Signal::Kill);
            }
            let one = &self.proxies[proxy];
            if let (None, Some(start)) = (&one.process, one.wanted) {
                self.start(proxy, start.fresh)?;
            }
        }
        Ok(())
    }

    fn handle_message(&mut self, message: ProcessMessage) {
        let one = &mut self.proxies[message.proxy];
        let current = one.process.as_ref().is_some_and(|p| p.life == message.life);
        let seen = match message.report {
            ProcessReport::Log(line) => Seen::Log(line),
            ProcessReport::Pid(pid) => {
                if let Some(process) = one.process.as_mut().filter(|_| current) {
                    process.pid = Some(pid);
                }
                return;
            }
            ProcessReport::Ready if current => {
                one.ready = true;
                Seen::Process(ProcessEvent::Ready)
            }
            ProcessReport::Exited(code) if current => {
                one.ready = false;
                one.lives.fetch_add(1, Ordering::Relaxed);
                if let Some(process) = one.process.take() {
                    process.end(PATIENCE);
                }
                Seen::Process(ProcessEvent::Exited { code })
            }
            _ => return,
        };
        self.seen.push((message.at, message.proxy, seen));
    }

    /// Takes the events since the last call, in the order in which they were reported.
    pub fn seen(&mut self) -> Vec<(Instant, usize, Seen)> {
        std::mem::take(&mut self.seen)
    }

    /// The number of ready processes.
    pub fn ready(&self) -> usize {
        self.proxies.iter().filter(|p| p.ready && p.process.is_some()).count()
    }

    /// The processes that are not ready, and whether each is still up.
    pub fn unready(&self) -> Vec<(usize, bool)> {
        let unready = self.proxies.iter().enumerate().filter(|(_, p)| !p.ready);
        unready.map(|(number, p)| (number, p.process.is_some())).collect()
    }

    /// Process ids of the processes that are up.
    pub fn pids(&self) -> Vec<u32> {
        self.proxies.iter().filter_map(|p| p.process.as_ref()?.pid).collect()
    }

    /// Ends all processes and waits for their end.
    pub fn end(&mut self) {
        for one in &mut self.proxies {
            one.wanted = None;
            one.lives.fetch_add(1, Ordering::Relaxed);
            if let Some(process) = &mut one.process {
                process.close_orders();
            }
        }
        for one in &mut self.proxies {
            if let Some(process) = one.process.take() {
                process.end(PATIENCE);
            }
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.end();
    }
}
