//! A working discovery server: it holds a list, answers polls and long polls, and records when each change was delivered to
//! which watcher.

mod connections;
mod endpoint_list;

pub use endpoint_list::{Delivery, Entry, Status, MAX_DELIVERIES};

use crate::checks::Drained;
use crate::{Clock, WAIT_LIMIT};
use endpoint_list::EndpointList;
use shaletide_types::Time;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Addresses that a watcher receives instead of those of the entries, by entry name. Other entries are not changed.
pub type View = BTreeMap<String, SocketAddr>;

/// How the discovery server treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListService {
    /// Calls are answered.
    #[default]
    Up,
    /// Every call is answered with 503 at once, also a waiting long poll.
    Failing,
    /// Every call ends with the loss of its connection.
    Broken,
    /// Calls are read and not answered; changes are delivered when the service is up again.
    Silent,
}

/// A call that has fallen silent while it waited for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilentCall {
    /// Index of the watcher that made it.
    pub watcher: usize,
    /// When it fell silent.
    pub at: Time,
    /// When its wait for changes is over.
    pub wait_ends_at: Time,
}

/// State shared by the serving thread and the callers that change the list.
struct Shared {
    list: Mutex<EndpointList>,
    delivered: Condvar,
    /// The list version and the state of the service; long polls wait for its change.
    state: watch::Sender<(u64, ListService)>,
    /// The number of times that the open calls have fallen silent.
    silences: AtomicU64,
    /// The calls that have fallen silent.
    silent_calls: Mutex<Vec<SilentCall>>,
    clock: Clock,
}

impl Shared {
    fn list(&self) -> MutexGuard<'_, EndpointList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running discovery server with an address for each watcher. It ends when this is dropped.
pub struct ListServer {
    addresses: Vec<(String, SocketAddr)>,
    shared: Arc<Shared>,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl std::fmt::Debug for ListServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "discovery at {:?}", self.addresses)
    }
}

impl ListServer {
    /// Starts a server of these entries, as version 1, with an address for each of the named watchers.
    ///
    /// # Errors
    /// No port, thread or file descriptor was available.
    pub fn start(clock: Clock, watchers: &[&str], entries: Vec<Entry>) -> io::Result<ListServer> {
        ListServer::with_views(clock, watchers, entries, Vec::new())
    }

    /// Starts a server with an address view for each watcher, by the index of the watcher.
    ///
    /// # Errors
    /// No port, thread or file descriptor was available.
    pub fn with_views(
        clock: Clock, watchers: &[&str], entries: Vec<Entry>, views: Vec<View>,
    ) -> io::Result<ListServer> {
        let (mut addresses, mut listeners) = (Vec::new(), Vec::new());
        for name in watchers {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            addresses.push((name.to_string(), listener.local_addr()?));
            listeners.push(listener);
        }
        let list = EndpointList::new(watchers, entries).with_views(views);
        let state = watch::Sender::new((list.index(), ListService::Up));
        let shared = Arc::new(Shared {
            list: Mutex::new(list),
            delivered: Condvar::new(),
            state,
            silences: AtomicU64::new(0),
            silent_calls: Mutex::default(),
            clock,
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let thread_shared = shared.clone();
        let serve = move || {
            runtime.block_on(async move {
                tokio::select! {
                    _ = stopped => {}
                    () = connections::run(thread_shared, listeners) => {}
                }
            });
        };
        let thread = std::thread::Builder::new().name("discovery".into()).spawn(serve)?;
        Ok(ListServer { addresses, shared, stop: Some(stop), thread: Some(thread) })
    }

    /// Returns the address for the watcher with that index.
    pub fn address(&self, watcher: usize) -> SocketAddr {
        self.addresses[watcher].1
    }

    /// Adds or replaces an entry and returns the new list version.
    pub fn put(&self, entry: Entry) -> u64 {
        self.change(|list| list.put(entry))
    }

    /// Sets the status of an entry, which counts as a change even if it is the same, and returns the list version. Does
    /// nothing if there is no such entry.
    pub fn set_status(&self, name: &str, status: Status) -> u64 {
        self.change(|list| list.set_status(name, status))
    }

    /// Sets an entry to draining and returns the list version.
    pub fn drain(&self, name: &str) -> u64 {
        self.set_status(name, Status::Draining)
    }

    /// Deletes an entry and returns the list version.
    pub fn delete(&self, name: &str) -> u64 {
        self.set_status(name, Status::Deleted)
    }

    /// Sets how calls are treated.
    pub fn set_service(&self, service: ListService) {
        self.shared.state.send_modify(|state| state.1 = service);
    }

    /// Returns the open calls that have fallen silent so far.
    pub fn silent_calls(&self) -> Vec<SilentCall> {
        self.shared.silent_calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Makes the open calls fall silent: they are never answered. Later calls are.
    pub fn silence_open_calls(&self) {
        self.shared.silences.fetch_add(1, Ordering::SeqCst);
        self.shared.state.send_modify(|_| {});
    }

    /// Drops the history: calls with an older version get a snapshot from now on.
    pub fn compact(&self) {
        self.shared.list().compact();
    }

    fn change(&self, change: impl FnOnce(&mut EndpointList)) -> u64 {
        let mut list = self.shared.list();
        change(&mut list);
        let index = list.index();
        // Under the lock, so that the long polls see the versions in order.
        self.shared.state.send_modify(|state| state.0 = index);
        index
    }

    /// Returns the number of calls so far, whatever their outcome.
    pub fn calls(&self) -> u64 {
        self.shared.list().calls
    }

    /// Returns the deliveries so far, in order.
    pub fn deliveries(&self) -> Vec<Delivery> {
        self.shared.list().deliveries().to_vec()
    }

    /// Waits until a list version is delivered to all watchers, for [`WAIT_LIMIT`] at most. Returns whether it is.
    pub fn wait_delivered(&self, index: u64) -> bool {
        let not_yet = |list: &mut EndpointList| !list.is_delivered(index);
        let waited = self.shared.delivered.wait_timeout_while(self.shared.list(), WAIT_LIMIT, not_yet);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    /// Returns the backends that are draining or deleted, with the time at which the change had been delivered to all
    /// watchers. Changes that are not delivered to all watchers yet are left out.
    pub fn drained(&self) -> Vec<Drained> {
        self.shared.list().drained()
    }
}

impl Drop for ListServer {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
