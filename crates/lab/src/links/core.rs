//! What the handles, the threads and the tasks of one link share: both directions and the notification of changes.

use super::fault::{Cut, Direction, Fault, FaultError};
use super::flow_queue::FlowQueue;
use super::line::{Line, Tally};
use shaletide_testkit::{Clock, SeededRng};
use shaletide_types::Time;
use socket2::SockRef;
use std::net::Shutdown;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// One direction through a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Way {
    Forth = 0,
    Back = 1,
}

impl Way {
    pub fn reversed(self) -> Way {
        match self {
            Way::Forth => Way::Back,
            Way::Back => Way::Forth,
        }
    }
}

impl Direction {
    pub(super) fn ways(self) -> &'static [Way] {
        match self {
            Direction::Forth => &[Way::Forth],
            Direction::Back => &[Way::Back],
            Direction::Both => &[Way::Forth, Way::Back],
        }
    }

    /// The direction as seen from the other end.
    pub fn reversed(self) -> Direction {
        match self {
            Direction::Forth => Direction::Back,
            Direction::Back => Direction::Forth,
            Direction::Both => Direction::Both,
        }
    }
}

/// Both directions between two ends.
#[derive(Debug)]
pub(super) struct Core {
    pub clock: Clock,
    pub name: String,
    pub ends: [String; 2],
    seed: u64,
    lines: Mutex<[Line; 2]>,
    changes: watch::Sender<()>,
    listener: Mutex<Weak<TcpListener>>,
}

impl Core {
    pub fn new(clock: Clock, seed: u64, name: &str, ends: [&str; 2]) -> Core {
        let lines = Mutex::new([Line::default(), Line::default()]);
        let ends = ends.map(str::to_owned);
        let (name, changes) = (name.to_owned(), watch::Sender::new(()));
        Core { clock, name, ends, seed, lines, changes, listener: Mutex::default() }
    }

    /// Both directions. I/O tasks write while they hold the lock, so that a fault once set is in force for each write.
    pub fn lines(&self) -> MutexGuard<'_, [Line; 2]> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn now(&self) -> Time {
        self.clock.now()
    }

    pub fn set(&self, direction: Direction, fault: Fault) -> Result<(), FaultError> {
        self.set_ways(direction.ways(), fault)
    }

    pub fn set_ways(&self, ways: &[Way], fault: Fault) -> Result<(), FaultError> {
        fault.check()?;
        let mut lines = self.lines();
        let now = self.now();
        for way in ways {
            lines[*way as usize].set(now, fault);
        }
        drop(lines);
        if fault.cut == Cut::Reset && !ways.is_empty() {
            self.stop_listening();
        }
        self.changed();
        Ok(())
    }

    /// Registers the listener for [`Core::stop_listening`].
    pub fn listens_at(&self, listener: &Arc<TcpListener>) {
        *self.listener.lock().unwrap_or_else(PoisonError::into_inner) = Arc::downgrade(listener);
    }

    /// Makes the kernel refuse connections at once, without waiting for the link's thread.
    pub fn stop_listening(&self) {
        let listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner).upgrade();
        if let Some(listener) = listener {
            // It may have stopped already.
            let _ = SockRef::from(&*listener).shutdown(Shutdown::Both);
        }
    }

    /// Notifies the receivers of [`Core::changes`].
    pub fn changed(&self) {
        self.changes.send_replace(());
    }

    /// A receiver that is notified when a fault is set.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// The random numbers of a flow in one direction.
    pub fn rng(&self, flow: &str, way: Way) -> SeededRng {
        SeededRng::named(self.seed, &format!("{}/{flow}/{way:?}", self.name))
    }

    pub fn tallies(&self) -> [Tally; 2] {
        let lines = self.lines();
        [lines[0].tally(), lines[1].tally()]
    }

    /// Number of cuts with a reset, of both directions.
    pub fn resets(&self) -> u64 {
        self.lines().iter().map(Line::resets).sum()
    }
}

/// A queue that takes what it holds off the tally when its flow ends.
pub(super) struct Flow<'a> {
    pub core: &'a Core,
    pub way: Way,
    pub queue: FlowQueue,
}

impl Drop for Flow<'_> {
    fn drop(&mut self) {
        self.queue.abandon(&mut self.core.lines()[self.way as usize]);
    }
}
