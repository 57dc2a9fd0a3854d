//! The handle of one link between two addresses.

use super::core::Core;
use super::fault::{Direction, Fault, FaultError};
use super::line::Tally;
use shaletide_testkit::Clock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::task::AbortHandle;

/// The counters of a link since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct Stats {
    /// From the side that opens to the target.
    pub forth: Tally,
    /// From the target.
    pub back: Tally,
    /// TCP: connections open now; UDP: senders known now.
    pub open: u64,
    /// Connections or senders accepted.
    pub accepted: u64,
    /// Connections whose target refused, took too long, or for which there was no room here: reset.
    pub failed: u64,
    /// Connections that ended with a reset, from either side or by a cut.
    pub reset: u64,
}

/// The parts that the handle and the tasks of a link share.
#[derive(Debug)]
pub(super) struct Shared {
    pub core: Arc<Core>,
    pub refusing: AtomicBool,
    pub counts: Counts,
    target: Mutex<SocketAddr>,
}

#[derive(Debug, Default)]
pub(super) struct Counts {
    pub open: AtomicU64,
    pub accepted: AtomicU64,
    pub failed: AtomicU64,
    pub reset: AtomicU64,
}

impl Shared {
    pub fn new(core: Core, target: SocketAddr) -> Shared {
        Shared {
            core: Arc::new(core),
            refusing: AtomicBool::new(false),
            counts: Counts::default(),
            target: Mutex::new(target),
        }
    }

    pub fn target(&self) -> SocketAddr {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A link. Usable from any thread, never blocks on the network; ends, with its connections, when dropped.
#[derive(Debug)]
pub struct Link {
    pub(super) shared: Arc<Shared>,
    pub(super) address: SocketAddr,
    pub(super) task: AbortHandle,
}

impl Link {
    /// Its name.
    pub fn name(&self) -> &str {
        &self.shared.core.name
    }

    /// Its listen address, to be used in place of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of those directions, in place of the one before. When it returns, no byte leaves that
    /// this fault holds; [`Fault::default`] heals.
    ///
    /// # Errors
    /// A value out of its range; nothing was changed.
    pub fn set(&self, direction: Direction, fault: Fault) -> Result<(), FaultError> {
        self.shared.core.set(direction, fault)
    }

    /// Sets the target of later connections and datagrams.
    pub fn aim(&self, target: SocketAddr) {
        *self.shared.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// TCP: whether new connections are refused, as by a host without a listener; open ones go on. For
    /// a target that is down: to accept and then reset a connection would look like a request that may
    /// have been executed. Refusal is in force on return; accepting again takes effect shortly after.
    pub fn refuse(&self, refuse: bool) {
        self.shared.refusing.store(refuse, Relaxed);
        if refuse {
            self.shared.core.stop_listening();
        }
        self.shared.core.changed();
    }

    /// The counters so far.
    pub fn stats(&self) -> Stats {
        let [forth, back] = self.shared.core.tallies();
        let counts = &self.shared.counts;
        Stats {
            forth,
            back,
            open: counts.open.load(Relaxed),
            accepted: counts.accepted.load(Relaxed),
            failed: counts.failed.load(Relaxed),
            reset: counts.reset.load(Relaxed),
        }
    }

    /// The clock that its times are of.
    pub fn clock(&self) -> Clock {
        self.shared.core.clock
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts one that is open for as long as it lives.
pub(super) struct Opened<'a>(&'a Counts);

impl<'a> Opened<'a> {
    pub fn new(counts: &'a Counts) -> Opened<'a> {
        counts.open.fetch_add(1, Relaxed);
        Opened(counts)
    }
}

impl Drop for Opened<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Relaxed);
    }
}
