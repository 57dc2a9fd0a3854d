//! The processes of one proxy, one after the other or overlapping: their starts, their clients and their ends.

use crate::clients::{leave, Departure};
use crate::oracle::ClientRecords;
use crate::plan::{Ending, Manner, NextStart, Signals};
use crate::proxies::{peak_memory_kib, send_signal, Life};
use crate::run::{classes, World};
use shaletide_testkit::{Exchange, Kept, Load, LoadResult};
use shaletide_types::Time;
use std::io;
use std::process::{Child, ExitStatus};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};

/// Requests a second of the ordinary load at each proxy.
const RATE_PER_S: f64 = 40.0;
/// The mean pause between two clients of a proxy that leave, ms.
const LEAVE_PAUSE_MS: f64 = 60.0;
/// The front sends a proxy new connections for so long after SIGTERM; clients use open ones until it has ended.
const STOP_NOTICE: Duration = Duration::from_millis(300);
/// SIGKILL comes so long after SIGTERM and the longest deadline.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// Between two signals of a series.
const SIGNAL_PAUSE: Duration = Duration::from_millis(15);
/// A client waits so long after its deadline for an answer that comes late.
const PATIENCE_AFTER_DEADLINE: Duration = Duration::from_millis(500);
/// A process that is not ready after so long is taken to be stuck.
const START_PATIENCE: Duration = Duration::from_secs(15);
/// An answer to a question whether it is ready comes within this time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How often a process is looked at.
const LOOK: Duration = Duration::from_millis(10);

/// A process, and when what it waits for will be there.
struct Started {
    child: Child,
    life: Life,
    unblocked: Option<JoinHandle<Time>>,
}

impl World {
    /// A proxy through all its processes, with its clients.
    pub(crate) async fn proxy(
        self: Arc<World>, place: usize, end: Time, mut orders: mpsc::Receiver<Ending>,
    ) -> io::Result<()> {
        let mut next = NextStart::Plain;
        let mut overlapping = JoinSet::new();
        loop {
            let Started { mut child, mut life, unblocked } = self.start(place, next)?;
            if let NextStart::EarlyStop(millis) | NextStart::StopWhileHeld(millis) = next {
                tokio::time::sleep(Duration::from_millis(millis)).await;
                let exit = self.stop(&mut child, &mut life, None, Signals::WithHangups).await?;
                self.note_end(child.id(), life, exit, None).await;
                next = NextStart::Plain;
                continue;
            }
            life.ready = self.ready(&mut child, place).await;
            if let Some(unblocked) = unblocked {
                life.unblocked = unblocked.await.ok();
            }
            let clients = Clients::start(&self, place, end);
            let order = tokio::select! {
                order = orders.recv() => order.map_or(Some(Manner::Stop(Signals::Single)), |ending| {
                    next = ending.next;
                    Some(ending.manner)
                }),
                () = ended(&mut child) => None,
            };
            let is_last = orders.is_closed() && orders.is_empty();
            life.peak_memory_kib = peak_memory_kib(child.id());
            let exit = match order {
                None => child.wait()?,
                Some(Manner::Kill) => {
                    life.killed = Some(self.clock.now());
                    child.kill()?;
                    child.wait()?
                }
                Some(Manner::Stop(signals)) => {
                    self.stop(&mut child, &mut life, Some(&clients), signals).await?
                }
                Some(Manner::Overlap) => {
                    let world = self.clone();
                    overlapping.spawn(async move {
                        let exit = world.stop(&mut child, &mut life, Some(&clients), Signals::Single).await?;
                        world.note_end(child.id(), life, exit, Some(clients)).await;
                        io::Result::Ok(())
                    });
                    continue;
                }
            };
            self.note_end(child.id(), life, exit, Some(clients)).await;
            if is_last || self.clock.now() >= end {
                break;
            }
        }
        overlapping.join_all().await.into_iter().collect()
    }

    fn start(self: &Arc<World>, place: usize, how: NextStart) -> io::Result<Started> {
        let slot = &self.slots[place];
        let held = match how {
            NextStart::HeldAddress(millis) => Some((millis, slot.kept().hold())),
            // Longer than the process will be there.
            NextStart::StopWhileHeld(millis) => Some((millis + 200, slot.kept().hold())),
            _ => None,
        };
        let has_whole_config = !matches!(how, NextStart::HalfConfiguration(_));
        let (child, life) = slot.start(&self.setting(), has_whole_config)?;
        let world = self.clone();
        let unblocked = match (held, how) {
            (Some((millis, Ok(holder))), _) => Some(tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(millis)).await;
                drop(holder);
                world.clock.now()
            })),
            (_, NextStart::HalfConfiguration(millis)) => Some(tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(millis)).await;
                // Where it cannot be written, the process is not ready, which is seen.
                let _ = world.slots[place].complete_config(&world.setting());
                world.clock.now()
            })),
            _ => None,
        };
        Ok(Started { child, life, unblocked })
    }

    async fn note_end(&self, process: u32, mut life: Life, exit: ExitStatus, clients: Option<Clients>) {
        self.slots[life.proxy].ended(process);
        life.ended = Some((self.clock.now(), exit));
        let records = match clients {
            Some(clients) => clients.end().await,
            None => None,
        };
        let mut notes = self.notes();
        notes.lives.push(life);
        let life = notes.lives.len() - 1;
        notes.clients.extend(records.map(|(load, departures)| ClientRecords { life, load, departures }));
    }

    /// Tells a process to end as the platform does, and waits for that.
    async fn stop(
        &self, child: &mut Child, life: &mut Life, clients: Option<&Clients>, signals: Signals,
    ) -> io::Result<ExitStatus> {
        let process = child.id();
        life.peak_memory_kib = life.peak_memory_kib.max(peak_memory_kib(process));
        life.stopped = Some(self.clock.now());
        let due =
            tokio::time::Instant::now() + Duration::from_micros(self.settings.longest_stop_us()) + KILL_AFTER;
        let notice = async {
            tokio::time::sleep(STOP_NOTICE).await;
            if let Some(clients) = clients {
                clients.existing_only.send_replace(true);
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = async { send_series(process, signals).await; ended(child).await } => {}
            () = notice => {}
            () = tokio::time::sleep_until(due) => {
                life.outlived_its_stop = true;
                child.kill()?;
            }
        }
        child.wait()
    }

    /// When a process says that it is ready; none where it ends or takes too long.
    async fn ready(&self, child: &mut Child, place: usize) -> Option<Time> {
        let to = self.slots[place].address();
        let by = tokio::time::Instant::now() + START_PATIENCE;
        let probe = "GET /-/ready HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n";
        while tokio::time::Instant::now() < by && matches!(child.try_wait(), Ok(None)) {
            let soon = tokio::time::Instant::now() + PROBE_TIMEOUT;
            if let Ok(mut link) = Kept::open(to, soon).await {
                let exchange = link.ask(probe.as_bytes(), "GET", soon).await;
                if matches!(exchange, Exchange::Answer(ref answer) if answer.status() == 200) {
                    return Some(self.clock.now());
                }
            }
            tokio::time::sleep(LOOK).await;
        }
        None
    }
}

/// Sends the signals of a stop; SIGTERM is the first that ends anything.
async fn send_series(process: u32, signals: Signals) {
    let names: &[&str] = match signals {
        Signals::Single => &["TERM"],
        Signals::Twice => &["TERM", "TERM"],
        Signals::WithHangups => &["HUP", "HUP", "HUP", "TERM", "HUP", "TERM", "HUP"],
    };
    for (place, name) in names.iter().enumerate() {
        if place > 0 {
            tokio::time::sleep(SIGNAL_PAUSE).await;
        }
        send_signal(process, name);
    }
}

/// Until the process has ended.
async fn ended(child: &mut Child) {
    while matches!(child.try_wait(), Ok(None)) {
        tokio::time::sleep(LOOK).await;
    }
}

/// The clients of one process.
struct Clients {
    /// No new connections any more.
    existing_only: watch::Sender<bool>,
    /// Nothing any more.
    stop: watch::Sender<bool>,
    load: JoinHandle<LoadResult>,
    leaving: JoinHandle<Vec<Departure>>,
    leaving_run: u32,
}

impl Clients {
    fn start(world: &Arc<World>, place: usize, end: Time) -> Clients {
        let (existing_only, no_new) = watch::channel(false);
        let (stop, mut stopped) = watch::channel(false);
        let (to, clock) = (world.slots[place].address(), world.clock);
        let longest = Duration::from_micros(world.settings.longest_stop_us()) + KILL_AFTER;
        let left = Duration::from_micros((end - clock.now()).0) + longest;
        let leaving_run = world.next_run();
        let load = Load {
            seed: world.seed.wrapping_mul(7919) + u64::from(leaving_run),
            clock,
            patience: PATIENCE_AFTER_DEADLINE,
            existing_connections_only: Some(no_new.clone()),
            ..Load::new(RATE_PER_S, classes(&world.settings), left)
        };
        let stop_load = async move {
            let _ = stopped.wait_for(|stop| *stop).await; // or the run has ended
        };
        let load = tokio::spawn(async move { load.run_until(to, stop_load).await });
        let leaving = tokio::spawn(leave(to, clock, leaving_run, LEAVE_PAUSE_MS, no_new));
        Clients { existing_only, stop, load, leaving, leaving_run }
    }

    /// Waits for what is open, and returns what the clients got.
    async fn end(self) -> Option<(LoadResult, (u32, Vec<Departure>))> {
        self.existing_only.send_replace(true);
        self.stop.send_replace(true);
        let (load, departures) = (self.load.await.ok()?, self.leaving.await.ok()?);
        Some((load, (self.leaving_run, departures)))
    }
}
