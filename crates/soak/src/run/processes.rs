//! The processes of one proxy, one after the other or overlapping: their starts, their clients and their ends.

use super::load::Clients;
use super::World;
use crate::address::Holder;
use crate::oracle::ClientRecords;
use crate::plan::{ProcessEnd, ProcessStart, Restart, StopSignals};
use crate::proxies::{peak_memory_kib, send_signal, Life};
use shaletide_testkit::{Exchange, Kept};
use shaletide_types::Time;
use std::io;
use std::process::{Child, ExitStatus};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

/// The front sends a proxy new connections for so long after SIGTERM; clients use open ones until it has ended.
const STOP_NOTICE: Duration = Duration::from_millis(300);
/// SIGKILL comes so long after SIGTERM and the longest deadline.
pub(super) const KILL_AFTER: Duration = Duration::from_millis(700);
/// Between two signals of a series.
const SIGNAL_PAUSE: Duration = Duration::from_millis(15);
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

/// What becomes of a process that is ready.
#[derive(Clone, Copy)]
enum Order {
    /// It is to end, and another one to start.
    Restart(Restart),
    /// It is to end with the run.
    RunOver,
    /// It has ended, and nothing told it to.
    EndedByItself,
}

impl World {
    /// A proxy through all its processes, with its clients.
    pub(super) async fn proxy(
        self: Arc<World>, place: usize, end: Time, mut orders: mpsc::Receiver<Restart>,
    ) -> io::Result<()> {
        let mut next = ProcessStart::Normal;
        let mut overlapping = JoinSet::new();
        loop {
            let mut started = self.start(place, next)?;
            if let ProcessStart::EarlyStop(millis) | ProcessStart::StopWhileHeld(millis) = next {
                tokio::time::sleep(Duration::from_millis(millis)).await;
                self.stop_with_clients(started.child, started.life, None, StopSignals::WithHangups).await?;
                next = ProcessStart::Normal;
                continue;
            }
            started.life.ready = self.ready(&mut started.child, place).await;
            if let Some(unblocked) = started.unblocked {
                started.life.unblocked = unblocked.await.ok();
            }
            let clients = Clients::start(&self, place, end);
            let order = next_order(&mut started.child, &mut orders).await;
            let is_last = orders.is_closed() && orders.is_empty();
            started.life.peak_memory_kib = peak_memory_kib(started.child.id());
            if let Order::Restart(restart) = order {
                next = restart.start;
            }
            if let Order::Restart(Restart { end: ProcessEnd::Overlap, .. }) = order {
                let world = self.clone();
                let (child, life) = (started.child, started.life);
                overlapping.spawn(async move {
                    world.stop_with_clients(child, life, Some(clients), StopSignals::Single).await
                });
                continue;
            }
            self.end(started.child, started.life, clients, order).await?;
            if is_last || self.clock.now() >= end {
                break;
            }
        }
        overlapping.join_all().await.into_iter().collect()
    }

    /// Ends a process as ordered, and waits for that.
    async fn end(&self, mut child: Child, mut life: Life, clients: Clients, order: Order) -> io::Result<()> {
        let signals = match order {
            Order::RunOver => StopSignals::Single,
            Order::Restart(Restart { end: ProcessEnd::Stop(signals), .. }) => signals,
            Order::Restart(Restart { end: ProcessEnd::Overlap, .. }) => StopSignals::Single,
            Order::Restart(Restart { end: ProcessEnd::Kill, .. }) => {
                life.killed = Some(self.clock.now());
                child.kill()?;
                let exit = child.wait()?;
                self.note_end(child.id(), life, exit, Some(clients)).await;
                return Ok(());
            }
            Order::EndedByItself => {
                let exit = child.wait()?;
                self.note_end(child.id(), life, exit, Some(clients)).await;
                return Ok(());
            }
        };
        self.stop_with_clients(child, life, Some(clients), signals).await
    }

    /// Tells a process to end, waits for that, and writes down what its clients got.
    async fn stop_with_clients(
        &self, mut child: Child, mut life: Life, clients: Option<Clients>, signals: StopSignals,
    ) -> io::Result<()> {
        let exit = self.stop(&mut child, &mut life, clients.as_ref(), signals).await?;
        self.note_end(child.id(), life, exit, clients).await;
        Ok(())
    }

    fn start(self: &Arc<World>, place: usize, how: ProcessStart) -> io::Result<Started> {
        let slot = &self.slots[place];
        let held = match how {
            ProcessStart::HeldAddress(millis) => Some((millis, slot.kept().hold())),
            // Longer than the process will be there.
            ProcessStart::StopWhileHeld(millis) => Some((millis + 200, slot.kept().hold())),
            _ => None,
        };
        let has_whole_config = !matches!(how, ProcessStart::HalfConfiguration(_));
        let (child, life) = slot.start(&self.setting(), has_whole_config)?;
        let unblocked = match (held, how) {
            (Some((millis, Ok(holder))), _) => Some(self.release_later(holder, millis)),
            (_, ProcessStart::HalfConfiguration(millis)) => Some(self.complete_config_later(place, millis)),
            _ => None,
        };
        Ok(Started { child, life, unblocked })
    }

    /// Releases a held address after so many milliseconds.
    fn release_later(self: &Arc<World>, holder: Holder, millis: u64) -> JoinHandle<Time> {
        let world = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            drop(holder);
            world.clock.now()
        })
    }

    /// Writes the whole configuration of a proxy after so many milliseconds.
    fn complete_config_later(self: &Arc<World>, place: usize, millis: u64) -> JoinHandle<Time> {
        let world = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            // Where it cannot be written, the process is not ready, which is seen.
            let _ = world.slots[place].complete_config(&world.setting());
            world.clock.now()
        })
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
        &self, child: &mut Child, life: &mut Life, clients: Option<&Clients>, signals: StopSignals,
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
async fn send_series(process: u32, signals: StopSignals) {
    let names: &[&str] = match signals {
        StopSignals::Single => &["TERM"],
        StopSignals::Twice => &["TERM", "TERM"],
        StopSignals::WithHangups => &["HUP", "HUP", "HUP", "TERM", "HUP", "TERM", "HUP"],
    };
    for (place, name) in names.iter().enumerate() {
        if place > 0 {
            tokio::time::sleep(SIGNAL_PAUSE).await;
        }
        send_signal(process, name);
    }
}

/// Waits for the next order to a process, or for its end.
async fn next_order(child: &mut Child, orders: &mut mpsc::Receiver<Restart>) -> Order {
    tokio::select! {
        order = orders.recv() => order.map_or(Order::RunOver, Order::Restart),
        () = ended(child) => Order::EndedByItself,
    }
}

/// Until the process has ended.
async fn ended(child: &mut Child) {
    while matches!(child.try_wait(), Ok(None)) {
        tokio::time::sleep(LOOK).await;
    }
}
