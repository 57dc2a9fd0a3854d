//! A discovery that works: it holds a list, answers calls for it and watches on it, and records when each change
//! was written to whom.

mod endpoint_list;
mod shell;

pub use endpoint_list::{Delivery, Entry, Status, MAX_DELIVERIES};

use crate::checks::Drained;
use crate::{Clock, WAIT_LIMIT};
use endpoint_list::EndpointList;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// What a watcher is told instead of the entries' own addresses: by entry name. Others are told as they are.
pub type View = BTreeMap<String, SocketAddr>;

/// Whether discovery does its work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListService {
    /// It does.
    #[default]
    Up,
    /// Every call ends with 503 at once, also those that wait.
    Failing,
    /// Every call ends with its connection.
    Broken,
    /// Calls are read and not answered; changes are told when it is up again.
    Silent,
}

/// What the thread that serves and those who change the list share.
struct Shared {
    book: Mutex<EndpointList>,
    written: Condvar,
    /// The list's version and the state of the service: watches wait on it.
    news: watch::Sender<(u64, ListService)>,
    clock: Clock,
}

impl Shared {
    fn book(&self) -> MutexGuard<'_, EndpointList> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Discovery at work, with an address for each who watches; ends when this is dropped.
pub struct ListServer {
    doors: Vec<(String, SocketAddr)>,
    shared: Arc<Shared>,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl std::fmt::Debug for ListServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "discovery at {:?}", self.doors)
    }
}

impl ListServer {
    /// Serves these entries, as version 1, to watchers of these names, each at an address of its own.
    ///
    /// # Errors
    /// No port, no thread, or no descriptors.
    pub fn start(clock: Clock, watchers: &[&str], entries: Vec<Entry>) -> io::Result<ListServer> {
        ListServer::with_views(clock, watchers, entries, Vec::new())
    }

    /// The same where each watcher is told addresses of its own, by its place.
    ///
    /// # Errors
    /// No port, no thread, or no descriptors.
    pub fn with_views(
        clock: Clock, watchers: &[&str], entries: Vec<Entry>, views: Vec<View>,
    ) -> io::Result<ListServer> {
        let (mut doors, mut listeners) = (Vec::new(), Vec::new());
        for name in watchers {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            doors.push((name.to_string(), listener.local_addr()?));
            listeners.push(listener);
        }
        let book = EndpointList::new(watchers, entries).seen(views);
        let news = watch::Sender::new((book.index(), ListService::Up));
        let shared = Arc::new(Shared { book: Mutex::new(book), written: Condvar::new(), news, clock });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let serving = shared.clone();
        let work = move || {
            runtime.block_on(async move {
                tokio::select! {
                    _ = stopped => {}
                    () = shell::run(serving, listeners) => {}
                }
            });
        };
        let thread = std::thread::Builder::new().name("discovery".into()).spawn(work)?;
        Ok(ListServer { doors, shared, stop: Some(stop), thread: Some(thread) })
    }

    /// Where the watcher of that place asks.
    pub fn address(&self, watcher: usize) -> SocketAddr {
        self.doors[watcher].1
    }

    /// Adds an entry or puts another in its place. The list's version from then on.
    pub fn put(&self, entry: Entry) -> u64 {
        self.change(|book| book.put(entry))
    }

    /// Changes an entry's status, which counts as a change even if it is the same; nothing where there is none.
    pub fn set_status(&self, name: &str, status: Status) -> u64 {
        self.change(|book| book.set(name, status))
    }

    /// Marks an entry as draining.
    pub fn drain(&self, name: &str) -> u64 {
        self.set_status(name, Status::Draining)
    }

    /// Takes an entry out.
    pub fn delete(&self, name: &str) -> u64 {
        self.set_status(name, Status::Deleted)
    }

    /// Stops the service in some way, or starts it again.
    pub fn set_service(&self, service: ListService) {
        self.shared.news.send_modify(|news| news.1 = service);
    }

    /// Whole answers are given to calls from a version before this on: the changes are forgotten.
    pub fn compact(&self) {
        self.shared.book().compact();
    }

    fn change(&self, change: impl FnOnce(&mut EndpointList)) -> u64 {
        let mut book = self.shared.book();
        change(&mut book);
        let index = book.index();
        // Under the lock, so that versions reach the watches in order.
        self.shared.news.send_modify(|news| news.0 = index);
        index
    }

    /// Calls that came so far, whatever became of them.
    pub fn calls(&self) -> u64 {
        self.shared.book().calls
    }

    /// What was told so far, in order.
    pub fn deliveries(&self) -> Vec<Delivery> {
        self.shared.book().told().to_vec()
    }

    /// Waits until all watchers have been told of that version, and no longer than [`WAIT_LIMIT`]. Whether they
    /// have.
    pub fn wait_delivered(&self, index: u64) -> bool {
        let not_yet = |book: &mut EndpointList| !book.all_told(index);
        let waited = self.shared.written.wait_timeout_while(self.shared.book(), WAIT_LIMIT, not_yet);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    /// The backends that drain or are deleted, with the moment by which every watcher had been told; those of which
    /// one has not been told are left out.
    pub fn drained(&self) -> Vec<Drained> {
        self.shared.book().drained()
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
