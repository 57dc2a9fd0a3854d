//! Starts and ends the processes of one proxy, in sequence or overlapping, and runs their clients.

use super::load::Clients;
use super::Testbed;
use super::KILL_AFTER;
use crate::address::ConflictingListener;
use crate::oracle::ClientRecords;
use crate::plan::{ProcessEnd, ProcessStart, Restart, StopSignals};
use crate::proxies::{peak_memory_kib, ProcessRecord};
use nix::sys::signal::Signal::{self, SIGHUP, SIGTERM};
use shaletide_testkit::{Exchange, KeptConnection};
use shaletide_types::Time;
use std::io;
use std::process::{Child, ExitStatus};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

/// Time after SIGTERM during which clients still open new connections. They use open ones until the process has ended.
const STOP_NOTICE: Duration = Duration::from_millis(300);
/// Pause between two signals of a series.
const SIGNAL_PAUSE: Duration = Duration::from_millis(15);
/// Maximum time to wait until a process is ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of a readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between two checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A started process. `unblocked` completes when its address is free or its configuration complete.
struct Started {
    child: Child,
    process: ProcessRecord,
    unblocked: Option<JoinHandle<Time>>,
}

/// Why a process ends.
#[derive(Clone, Copy)]
enum EndCause {
    /// The plan restarts it.
    Restart(Restart),
    /// The run has ended.
    RunOver,
    /// The process has exited by itself.
    Exited,
}

impl Testbed {
    /// Runs the processes of a proxy, in sequence or overlapping, with their clients, until the run has ended.
    pub(super) async fn proxy(
        self: Arc<Testbed>, proxy: usize, end: Time, mut restarts: mpsc::Receiver<Restart>,
    ) -> io::Result<()> {
        let mut next = ProcessStart::Normal;
        let mut overlapping = JoinSet::new();
        loop {
            let mut started = self.start(proxy, next)?;
            if let ProcessStart::EarlyStop(millis) | ProcessStart::StopWhileHeld(millis) = next {
                tokio::time::sleep(Duration::from_millis(millis)).await;
                self.stop_with_clients(started.child, started.process, None, StopSignals::WithHangups)
                    .await?;
                next = ProcessStart::Normal;
                continue;
            }
            started.process.ready_at = self.wait_until_ready(&mut started.child, proxy).await;
            if let Some(unblocked) = started.unblocked {
                started.process.unblocked_at = unblocked.await.ok();
            }
            let clients = Clients::start(&self, proxy, end);
            let cause = next_end_cause(&mut started.child, &mut restarts).await;
            let is_last = restarts.is_closed() && restarts.is_empty();
            started.process.peak_memory_kib = peak_memory_kib(started.child.id());
            if let EndCause::Restart(restart) = cause {
                next = restart.start;
            }
            if let EndCause::Restart(Restart { end: ProcessEnd::Overlap, .. }) = cause {
                let testbed = self.clone();
                let (child, process) = (started.child, started.process);
                overlapping.spawn(async move {
                    testbed.stop_with_clients(child, process, Some(clients), StopSignals::Single).await
                });
                continue;
            }
            self.end(started.child, started.process, clients, cause).await?;
            if is_last || self.clock.now() >= end {
                break;
            }
        }
        overlapping.join_all().await.into_iter().collect()
    }

    /// Ends a process for this cause, waits until it has exited, and records it.
    async fn end(
        &self, mut child: Child, mut process: ProcessRecord, clients: Clients, cause: EndCause,
    ) -> io::Result<()> {
        let signals = match cause {
            EndCause::RunOver => StopSignals::Single,
            EndCause::Restart(Restart { end: ProcessEnd::Stop(signals), .. }) => signals,
            EndCause::Restart(Restart { end: ProcessEnd::Overlap, .. }) => StopSignals::Single,
            EndCause::Restart(Restart { end: ProcessEnd::Kill, .. }) => {
                process.killed_at = Some(self.clock.now());
                child.kill()?;
                let exit = child.wait()?;
                self.record_exit(child.id(), process, exit, Some(clients)).await;
                return Ok(());
            }
            EndCause::Exited => {
                let exit = child.wait()?;
                self.record_exit(child.id(), process, exit, Some(clients)).await;
                return Ok(());
            }
        };
        self.stop_with_clients(child, process, Some(clients), signals).await
    }

    /// Stops a process, waits until it has exited, and records it with the results of its clients.
    async fn stop_with_clients(
        &self, mut child: Child, mut process: ProcessRecord, clients: Option<Clients>, signals: StopSignals,
    ) -> io::Result<()> {
        let exit = self.stop(&mut child, &mut process, clients.as_ref(), signals).await?;
        self.record_exit(child.id(), process, exit, clients).await;
        Ok(())
    }

    fn start(self: &Arc<Testbed>, proxy: usize, process_start: ProcessStart) -> io::Result<Started> {
        let slot = &self.slots[proxy];
        let occupied = match process_start {
            ProcessStart::HeldAddress(millis) => Some((millis, slot.reserved().occupy())),
            // The address stays occupied for longer than the process runs.
            ProcessStart::StopWhileHeld(millis) => Some((millis + 200, slot.reserved().occupy())),
            _ => None,
        };
        let is_config_complete = !matches!(process_start, ProcessStart::HalfConfiguration(_));
        let (child, process) = slot.start(&self.process_context(), is_config_complete)?;
        let unblocked = match (occupied, process_start) {
            (Some((millis, Ok(listener))), _) => Some(self.release_address_later(proxy, listener, millis)),
            (_, ProcessStart::HalfConfiguration(millis)) => Some(self.complete_config_later(proxy, millis)),
            _ => None,
        };
        Ok(Started { child, process, unblocked })
    }

    /// Frees an occupied address after `millis` milliseconds.
    fn release_address_later(
        self: &Arc<Testbed>, proxy: usize, listener: ConflictingListener, millis: u64,
    ) -> JoinHandle<Time> {
        let testbed = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            // If the clients are not known, the oracle reports their requests as unanswered.
            let clients = listener.release().unwrap_or_default();
            let clients = clients.into_iter().map(|client| (proxy, client));
            testbed.observations().clients_of_conflicting_listeners.extend(clients);
            testbed.clock.now()
        })
    }

    /// Writes the complete configuration of a proxy after `millis` milliseconds.
    fn complete_config_later(self: &Arc<Testbed>, proxy: usize, millis: u64) -> JoinHandle<Time> {
        let testbed = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            // If it cannot be written, the process does not become ready, which the oracle reports.
            let _ = testbed.slots[proxy].complete_config(&testbed.process_context());
            testbed.clock.now()
        })
    }

    async fn record_exit(
        &self, pid: u32, mut process: ProcessRecord, exit: ExitStatus, clients: Option<Clients>,
    ) {
        let slot = &self.slots[process.proxy];
        slot.forget(pid);
        process.signals = slot.take_signals(pid);
        process.exit = Some((self.clock.now(), exit));
        let records = match clients {
            Some(clients) => clients.finish().await,
            None => None,
        };
        let mut observations = self.observations();
        observations.processes.push(process);
        let process = observations.processes.len() - 1;
        observations.clients.extend(records.map(|(load, disconnects)| ClientRecords {
            process,
            load,
            disconnects,
        }));
    }

    /// Stops a process as the platform does: by SIGTERM, and by SIGKILL if it has not exited in time.
    async fn stop(
        &self, child: &mut Child, process: &mut ProcessRecord, clients: Option<&Clients>,
        signals: StopSignals,
    ) -> io::Result<ExitStatus> {
        let pid = child.id();
        let proxy = process.proxy;
        process.peak_memory_kib = process.peak_memory_kib.max(peak_memory_kib(pid));
        process.stop_requested_at = Some(self.clock.now());
        let sigkill_at =
            tokio::time::Instant::now() + Duration::from_micros(self.settings.longest_stop_us()) + KILL_AFTER;
        let notice = async {
            tokio::time::sleep(STOP_NOTICE).await;
            if let Some(clients) = clients {
                clients.existing_only.send_replace(true);
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = async { self.send_series(proxy, pid, signals).await; wait_for_exit(child).await } => {}
            () = notice => {}
            () = tokio::time::sleep_until(sigkill_at) => {
                process.outlived_stop = true;
                child.kill()?;
            }
        }
        child.wait()
    }

    /// Waits until a process is ready and returns that time; `None` if it exits or takes too long.
    async fn wait_until_ready(&self, child: &mut Child, proxy: usize) -> Option<Time> {
        let to = self.slots[proxy].address();
        let start_deadline = tokio::time::Instant::now() + START_TIMEOUT;
        let probe = "GET /-/ready HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n";
        while tokio::time::Instant::now() < start_deadline && matches!(child.try_wait(), Ok(None)) {
            let probe_deadline = tokio::time::Instant::now() + PROBE_TIMEOUT;
            if let Ok(mut link) = KeptConnection::open(to, probe_deadline).await {
                let exchange = link.send_request(probe.as_bytes(), "GET", probe_deadline).await;
                if matches!(exchange, Exchange::Answer(ref answer) if answer.status() == 200) {
                    return Some(self.clock.now());
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Sends the signals of a stop, with pauses between them.
    async fn send_series(&self, proxy: usize, pid: u32, signals: StopSignals) {
        let series: &[Signal] = match signals {
            StopSignals::Single => &[SIGTERM],
            StopSignals::Twice => &[SIGTERM, SIGTERM],
            StopSignals::WithHangups => &[SIGHUP, SIGHUP, SIGHUP, SIGTERM, SIGHUP, SIGTERM, SIGHUP],
        };
        for (number, signal) in series.iter().enumerate() {
            if number > 0 {
                tokio::time::sleep(SIGNAL_PAUSE).await;
            }
            self.slots[proxy].signal_process(pid, *signal, self.clock);
        }
    }
}

/// Waits until a process is to be ended or has exited.
async fn next_end_cause(child: &mut Child, restarts: &mut mpsc::Receiver<Restart>) -> EndCause {
    tokio::select! {
        restart = restarts.recv() => restart.map_or(EndCause::RunOver, EndCause::Restart),
        () = wait_for_exit(child) => EndCause::Exited,
    }
}

/// Waits until a process has exited.
async fn wait_for_exit(child: &mut Child) {
    while matches!(child.try_wait(), Ok(None)) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
