//! The recorder at work: what the driver does of requests on record goes in, writes go to the store's own thread, and what
//! became of them comes back. A thin shell; what is decided about keys is decided in `shaletide-record`.
#![forbid(unsafe_code)]

mod opening;
mod record;
mod store_error;

use opening::StoreContents;
pub use record::Record;
use store_error::store_failure;

use shaletide_net::{Clock, Driver, RequestRecorder};
use shaletide_record::{chain, About, Action, Event, Fact, KeyId, KeyRequest, RecordConfig, Recorder};
use shaletide_record::{KeyDecision, ReplyId, ResolveResult, Ticket};
pub use shaletide_store::StoreError;
use shaletide_store::{
    Anchor, CommitOutcome, FactEncoder, Head, Opening, SendError, SqliteOptions, SqliteStore, Store, Writer,
    WriterConfig, WriterEvent,
};
use shaletide_types::{causes, Micros, Time};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, Notify};
use tracing::{error, info, warn};

/// So many rows may wait for the store's thread.
const QUEUE: usize = 80_000;
/// And so many bytes: above what the recorder's own bounds let wait.
const QUEUE_BYTES: usize = 512 << 20;
/// The queue is tried again after this time where it had no room.
const ROOM: Duration = Duration::from_millis(20);
/// A store that has been down is tried again after this time, as far as clients are told.
const AGAIN: Micros = Micros(1_000_000);
/// A store that works on one thing for so long is said to be slow.
const SLOW: Duration = Duration::from_secs(1);
/// What is asked for by a command has so long to be written.
const WRITTEN: Duration = Duration::from_secs(5);

/// Who begins a run, for the first fact of it.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// The proxy's name.
    pub proxy: String,
    /// The program's version.
    pub version: String,
    /// The configuration's digest.
    pub digest: String,
}

/// The recorder and its writer.
pub struct RecordService {
    recorder: RefCell<Recorder>,
    writer: RefCell<Option<Writer>>,
    driver: RefCell<Weak<Driver>>,
    clock: Clock,
    /// Events that came up while others were carried out.
    events: RefCell<VecDeque<Event>>,
    busy: Cell<bool>,
    sooner: Notify,
    armed: Cell<Option<Time>>,
    replies: RefCell<HashMap<ReplyId, oneshot::Sender<ResolveResult>>>,
    next_reply: Cell<u64>,
    prunes: RefCell<HashMap<u64, oneshot::Sender<Result<u64, String>>>>,
    /// The store takes nothing, as far as is known.
    down: Cell<bool>,
    /// The writer's queue had no room: what it did not take is sent again a little later.
    full: Cell<bool>,
    slow_said: Cell<bool>,
    /// Of the configuration, counted in this run.
    version: Cell<u64>,
}

impl RecordService {
    /// Takes over what a store that was opened remembers, and starts its writer. The receiver is for [`RecordService::work`].
    ///
    /// # Errors
    /// The system gives no thread.
    fn begin(
        path: &Path, contents: StoreContents, config: RecordConfig, clock: Clock, run: Run,
    ) -> Result<(Rc<RecordService>, mpsc::UnboundedReceiver<WriterEvent>), StoreError> {
        let StoreContents { store, head, held } = contents;
        info!("the store of record has {} rows and {} keys, head {}", head.seq, held.len(), head);
        if head.seq == 0 && held.is_empty() {
            let at = path.canonicalize().unwrap_or_else(|_| path.to_path_buf());
            warn!("a new store of record begins at {}: no key is known", at.display());
        }
        let now = clock.now();
        let mut recorder = Recorder::new(config, secret(), now, now);
        let (said, heard) = mpsc::unbounded_channel(); // no more than there are tickets, which are bounded
        let writer =
            start_writer(path.to_path_buf(), store, &head, said).map_err(|e| StoreError::Io(e.into()))?;
        let mut actions = Vec::new();
        let Run { proxy, version, digest } = run;
        let start = Fact::Start { proxy, version, config: 1, digest };
        recorder.handle(now, Event::RecordFact(start), &mut actions);
        recorder.restore(now, held, &mut actions);
        let service = Rc::new(RecordService {
            recorder: RefCell::new(recorder),
            writer: RefCell::new(Some(writer)),
            driver: RefCell::default(),
            clock,
            events: RefCell::default(),
            busy: Cell::default(),
            sooner: Notify::new(),
            armed: Cell::default(),
            replies: RefCell::default(),
            next_reply: Cell::default(),
            prunes: RefCell::default(),
            down: Cell::default(),
            full: Cell::default(),
            slow_said: Cell::default(),
            version: Cell::new(1),
        });
        service.carry_out(actions);
        service.drain();
        Ok((service, heard))
    }

    /// Works for this driver from now on.
    pub fn serve(self: &Rc<Self>, driver: &Rc<Driver>) {
        self.driver.replace(Rc::downgrade(driver));
        driver.set_recorder(self.clone());
    }

    /// Another configuration, and the digest of the file that says it.
    pub fn configure(&self, config: RecordConfig, digest: String) {
        self.recorder.borrow_mut().configure(config);
        self.version.set(self.version.get() + 1);
        self.note(Fact::Config { version: self.version.get(), digest });
    }

    /// Hears what the store says and watches the time, for as long as the program runs.
    pub async fn work(self: Rc<Self>, mut heard: mpsc::UnboundedReceiver<WriterEvent>) {
        let mut look = tokio::time::interval(SLOW);
        loop {
            let at = self.recorder.borrow().wake_at();
            self.armed.set(at);
            let due = async {
                match at {
                    Some(at) => tokio::time::sleep_until(self.clock.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                said = heard.recv() => match said {
                    Some(said) => self.hear(said),
                    None => return, // the writer has ended
                },
                () = due => self.push(Event::Wake),
                () = self.sooner.notified() => {}
                () = tokio::time::sleep(ROOM), if self.full.get() => {
                    self.full.set(false);
                    if !self.down.get() {
                        self.push(Event::StoreUp); // else the store says when it is back
                    }
                }
                _ = look.tick() => self.look(),
            }
        }
    }

    /// Whether an attempt in doubt ran, by an operator.
    pub async fn resolve(self: &Rc<Self>, key: KeyId, ran: bool, by: String, note: String) -> ResolveResult {
        let reply = ReplyId(self.next_reply.replace(self.next_reply.get() + 1));
        let (tell, told) = oneshot::channel();
        self.replies.borrow_mut().insert(reply, tell);
        self.push(Event::Resolve { reply, key, ran, by, note });
        told.await.unwrap_or(ResolveResult::StoreDown)
    }

    /// A fact that is about no request.
    pub fn note(&self, fact: Fact) {
        self.push(Event::RecordFact(fact));
    }

    /// Has rows pruned that are older, and says how many went.
    ///
    /// # Errors
    /// Why none went, or nobody can tell.
    pub async fn prune(&self, before: Time, by: String) -> Result<u64, String> {
        if self.down() {
            return Err("the store takes nothing now".into());
        }
        // Above all tickets of the recorder's own, which count from 0.
        let ticket = u64::MAX - self.next_reply.replace(self.next_reply.get() + 1);
        let at = self.clock.now();
        let note: FactEncoder = Box::new(move |anchor: &Anchor| {
            let (through, sum) = (anchor.through.seq, chain::hex(&anchor.through.sum));
            Fact::Pruned { through, sum, by: by.clone() }.row(at, About::default())
        });
        let sent = self
            .writer
            .borrow()
            .as_ref()
            .map_or(Err(SendError::Ended), |writer| writer.prune(ticket, before, note));
        sent.map_err(|e| e.to_string())?;
        let (tell, told) = oneshot::channel();
        self.prunes.borrow_mut().insert(ticket, tell);
        told.await.unwrap_or_else(|_| Err("the proxy stops".into()))
    }

    /// The store takes nothing, as far as is known.
    pub fn down(&self) -> bool {
        self.down.get()
    }

    /// Until all that may not be lost is on record; false where that takes too long for a command.
    pub async fn settled(&self) -> bool {
        self.settled_by(Instant::now() + WRITTEN).await
    }

    /// The same until that time.
    pub async fn settled_by(&self, end: Instant) -> bool {
        while self.recorder.borrow().pending_fact_count() > 0 {
            if Instant::now() >= end {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        true
    }

    /// Lets the writer end: what waits is written until that time, and it is said what is left. An attempt that went out
    /// has its intent on record, so that what is left of its key is in doubt at the next start.
    pub fn stop(&self, end: Instant) {
        let Some(writer) = self.writer.borrow_mut().take() else { return };
        let ended = writer.stop(end.saturating_duration_since(Instant::now()));
        let r = self.recorder.borrow();
        if ended.is_err() || r.pending_fact_count() > 0 {
            let (facts, keys) = (r.pending_fact_count(), r.unsettled());
            error!("the store did not take its last writes in time: {facts} facts, {keys} keys unsettled");
        }
    }

    /// One line where something is worth it.
    pub fn report(&self) {
        let r = self.recorder.borrow();
        info!(
            "record: keys unsettled {} served {}, facts on their way {}, left out {}",
            r.unsettled(),
            r.served(),
            r.pending_fact_count(),
            r.dropped()
        );
    }

    /// Tells whoever waits for a prune.
    fn pruned(&self, ticket: u64, came: Result<u64, String>) {
        let Some(tell) = self.prunes.borrow_mut().remove(&ticket) else { return };
        let _ = tell.send(came); // whoever asked may have left
    }

    fn look(&self) {
        // Facts bear the wall clock's time, which may be set while the program runs.
        self.push(Event::Clock(Clock::new().now()));
        let long = self.writer.borrow().as_ref().and_then(Writer::working_for).filter(|d| *d >= SLOW);
        match long {
            Some(long) if !self.slow_said.replace(true) => {
                warn!("store: slow: at work on one thing for {long:?}");
            }
            None => self.slow_said.set(false),
            _ => {}
        }
    }

    fn hear(&self, said: WriterEvent) {
        match said {
            WriterEvent::Failed { ticket, ref error, .. } if self.prunes.borrow().contains_key(&ticket) => {
                self.pruned(ticket, Err(error.to_string()));
            }
            WriterEvent::Lost { ticket } if self.prunes.borrow().contains_key(&ticket) => {
                self.pruned(ticket, Err("the store did not get to it".into()));
            }
            WriterEvent::Committed { ticket, seqs } => {
                let seq = seqs.last().copied().unwrap_or_default();
                self.push(Event::Committed { ticket: Ticket(ticket), seq });
            }
            WriterEvent::ClaimsRejected { ticket, rows } => {
                let refused = rows.iter().find_map(|row| row.err());
                let seq = rows.iter().find_map(|row| row.ok()).unwrap_or_default();
                self.push(match refused {
                    Some(why) => Event::ClaimRejected { ticket: Ticket(ticket), why },
                    None => Event::Committed { ticket: Ticket(ticket), seq },
                });
            }
            // What may be on record all the same is told as soon as the store is back and tells: the recorder's own
            // limit answers whoever waits for it.
            WriterEvent::Failed { outcome: CommitOutcome::Unknown, .. } => {}
            WriterEvent::Failed { ticket, error, .. } => {
                let why = store_failure(&error);
                self.push(Event::WriteFailed { ticket: Ticket(ticket), why });
            }
            WriterEvent::Lost { ticket } => {
                let why = shaletide_record::StoreFailure::Failed;
                self.push(Event::WriteFailed { ticket: Ticket(ticket), why });
            }
            WriterEvent::Forgotten { .. } => {}
            WriterEvent::Pruned { ticket, pruned } => {
                info!("store: {} rows pruned", pruned.rows);
                self.pruned(ticket, Ok(pruned.rows));
            }
            WriterEvent::Down { error } => {
                error!("store: {}: {}", error.code(), causes(&error));
                self.down.set(true);
                self.push(Event::StoreDown { why: store_failure(&error), again: AGAIN });
            }
            WriterEvent::Back { head } => {
                info!("store: at work, head {}", head);
                self.down.set(false);
                self.push(Event::StoreUp);
            }
            other => warn!("store: {other:?}"),
        }
    }

    /// Tells the recorder, and does what it asks; in turn, whoever calls.
    fn push(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
        self.drain();
    }

    fn drain(&self) {
        if self.busy.replace(true) {
            return; // by whoever is at it already
        }
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let mut actions = Vec::new();
            self.recorder.borrow_mut().handle(self.clock.now(), event, &mut actions);
            self.carry_out(actions);
        }
        self.busy.set(false);
        let wake = self.recorder.borrow().wake_at();
        if wake.is_some_and(|at| self.armed.get().is_none_or(|armed| at < armed)) {
            self.sooner.notify_one();
        }
    }

    fn carry_out(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write { ticket, write } => self.write(ticket, *write),
                Action::IntentPersisted { request, attempt, persisted: given } => {
                    if let Some(driver) = self.driver.borrow().upgrade() {
                        driver.on_intent_persisted(request, attempt, given);
                    }
                }
                Action::EndRequest { request, verdict } => {
                    if let Some(driver) = self.driver.borrow().upgrade() {
                        driver.end_by_record(request, verdict);
                    }
                }
                Action::Reply { reply, result: resolved } => {
                    if let Some(tell) = self.replies.borrow_mut().remove(&reply) {
                        let _ = tell.send(resolved); // whoever asked may have left
                    }
                }
            }
        }
    }

    fn write(&self, ticket: Ticket, write: shaletide_record::Write) {
        let sent =
            self.writer.borrow().as_ref().map_or(Err(SendError::Ended), |w| w.send(ticket.0, vec![write]));
        if let Err(e) = sent {
            let why = match e {
                SendError::QueueFull => shaletide_record::StoreFailure::Slow,
                _ => shaletide_record::StoreFailure::Failed,
            };
            self.events.borrow_mut().push_back(Event::WriteFailed { ticket, why });
            // The queue has room again soon, and nothing else says so. Not at once: on a disk that hangs that would
            // go round for as long as it does.
            if e == SendError::QueueFull && !self.full.replace(true) {
                self.sooner.notify_one();
            }
        }
    }
}

impl RequestRecorder for RecordService {
    fn records(&self, class: &str) -> bool {
        self.recorder.borrow().records(class)
    }

    fn ask(&self, now: Time, asked: &KeyRequest<'_>) -> KeyDecision {
        let mut actions = Vec::new();
        let verdict = self.recorder.borrow_mut().ask(now, *asked, &mut actions);
        // What these call for comes behind them: writes go out in the order of their tickets.
        let nested = self.busy.replace(true);
        self.carry_out(actions);
        self.busy.set(nested);
        self.drain();
        verdict
    }

    fn tell(&self, _: Time, event: Event) {
        self.push(event);
    }
}

/// A number that clients do not know, from the standard library's own random state.
fn secret() -> [u8; 16] {
    use std::hash::{BuildHasher, Hasher};
    let draw = || std::hash::RandomState::new().build_hasher().finish().to_le_bytes();
    let (a, b) = (draw(), draw());
    let mut secret = [0; 16];
    secret[..8].copy_from_slice(&a);
    secret[8..].copy_from_slice(&b);
    secret
}

fn start_writer(
    path: PathBuf, store: SqliteStore, head: &Head, said: mpsc::UnboundedSender<WriterEvent>,
) -> std::io::Result<Writer> {
    let mut first = Some(store);
    let opener = Box::new(move |opening: Opening| -> Result<Box<dyn Store>, StoreError> {
        if let (Opening::First, Some(store)) = (opening, first.take()) {
            return Ok(Box::new(store));
        }
        let options = SqliteOptions { create: false, ..SqliteOptions::new(&path) };
        Ok(Box::new(SqliteStore::open(&options)?))
    });
    let sums = Arc::new(|before: &[u8; 32], row: &shaletide_record::Row| chain::sum(before, row));
    let notify = Box::new(move |event| drop(said.send(event)));
    // As large as the recorder's own bounds, which come first: a row a ticket.
    let config = WriterConfig { queue: QUEUE, queue_bytes: QUEUE_BYTES, ..WriterConfig::new(head.run + 1) };
    Writer::start(config, opener, sums, notify)
}
