//! The recorder and its writer: events in, actions out, in turn.

mod commands;
mod writer_events;

use crate::opening::StoreContents;
use crate::store_writer::start_writer;
use commands::PruneError;
use shaletide_net::{thread_channel, Clock, Driver, RequestRecorder, ThreadReceiver};
use shaletide_record::{Action, Event, Fact, KeyDecision, KeyRequest, RecordConfig, Recorder, ReplyId};
use shaletide_record::{ResolveResult, StoreFailure, Ticket, Write};
use shaletide_store::{SendError, StoreError, Writer, WriterEvent};
use shaletide_types::{Micros, Time};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::path::Path;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tracing::{info, warn};

/// Writes are sent again after this time where the writer's queue was full.
const QUEUE_RETRY: Duration = Duration::from_millis(20);
/// The `Retry-After` of requests that are rejected while the store is down.
pub(crate) const STORE_RETRY_AFTER: Micros = Micros(1_000_000);
/// A store that works on one operation for so long is reported as slow; also how often that is checked.
const SLOW_AFTER: Duration = Duration::from_secs(1);

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
    /// None once it was stopped.
    writer: RefCell<Option<Writer>>,
    driver: RefCell<Weak<Driver>>,
    clock: Clock,
    /// Events that came up while others were handled.
    pending_events: RefCell<VecDeque<Event>>,
    /// Events are being handled, further up the stack.
    handling: Cell<bool>,
    /// Wakes [`RecordService::work`]: the timer is due earlier, or the queue was full.
    timer_changed: Notify,
    /// When the timer of [`RecordService::work`] is due.
    timer_at: Cell<Option<Time>>,
    /// Who waits for a resolution.
    replies: RefCell<HashMap<ReplyId, oneshot::Sender<ResolveResult>>>,
    next_reply: Cell<u64>,
    /// Who waits for a prune, by its ticket.
    prunes: RefCell<HashMap<u64, oneshot::Sender<Result<u64, PruneError>>>>,
    /// The store takes nothing, as far as is known.
    store_down: Cell<bool>,
    /// The writer's queue was full: what it did not take is sent again a little later.
    queue_full: Cell<bool>,
    /// The operation that the store works on was reported as slow.
    slow_reported: Cell<bool>,
    /// Of the configuration, counted in this run.
    config_version: Cell<u64>,
}

impl RecordService {
    /// Takes over what a store that was opened has, and starts its writer. The receiver is for [`RecordService::work`].
    ///
    /// # Errors
    /// The system gives no thread, or no descriptors to hear of it by.
    pub(crate) fn begin(
        path: &Path, contents: StoreContents, config: RecordConfig, clock: Clock, run: Run,
    ) -> Result<(Rc<RecordService>, ThreadReceiver<WriterEvent>), StoreError> {
        let StoreContents { store, head, keys } = contents;
        info!("the store of record has {} rows and {} keys, head {}", head.seq, keys.len(), head);
        if head.seq == 0 && keys.is_empty() {
            let path = path.canonicalize().unwrap_or_else(|_| path.to_path_buf());
            warn!("a new store of record begins at {}: no key is known", path.display());
        }
        let now = clock.now();
        let mut recorder = Recorder::new(config, random_secret(), now, now);
        // Bounded all the same: one or two events a ticket, and the recorder bounds its tickets.
        let channel = thread_channel();
        let (sender, receiver) = channel.map_err(|error| StoreError::Io(error.into()))?;
        let writer = start_writer(path.to_path_buf(), store, &head, sender);
        let writer = writer.map_err(|error| StoreError::Io(error.into()))?;
        let mut actions = Vec::new();
        let Run { proxy, version, digest } = run;
        let start = Fact::Start { proxy, version, config: 1, digest };
        recorder.handle(now, Event::RecordFact(start), &mut actions);
        recorder.restore(now, keys, &mut actions);
        let service = Rc::new(RecordService::new(recorder, writer, clock));
        service.carry_out(actions);
        service.handle_pending();
        Ok((service, receiver))
    }

    fn new(recorder: Recorder, writer: Writer, clock: Clock) -> RecordService {
        RecordService {
            recorder: RefCell::new(recorder),
            writer: RefCell::new(Some(writer)),
            driver: RefCell::default(),
            clock,
            pending_events: RefCell::default(),
            handling: Cell::default(),
            timer_changed: Notify::new(),
            timer_at: Cell::default(),
            replies: RefCell::default(),
            next_reply: Cell::default(),
            prunes: RefCell::default(),
            store_down: Cell::default(),
            queue_full: Cell::default(),
            slow_reported: Cell::default(),
            config_version: Cell::new(1),
        }
    }

    /// Works for this driver from now on.
    pub fn serve(self: &Rc<Self>, driver: &Rc<Driver>) {
        self.driver.replace(Rc::downgrade(driver));
        driver.set_recorder(self.clone());
    }

    /// Handles what the writer reports and runs the recorder's timer, for as long as the program runs.
    pub async fn work(self: Rc<Self>, mut writer_events: ThreadReceiver<WriterEvent>) {
        let mut check = tokio::time::interval(SLOW_AFTER);
        loop {
            let timer_at = self.recorder.borrow().wake_at();
            self.timer_at.set(timer_at);
            let timer = async {
                match timer_at {
                    Some(at) => tokio::time::sleep_until(self.clock.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                event = writer_events.recv() => match event {
                    Some(event) => self.on_writer_event(event),
                    None => return, // the writer has ended
                },
                () = timer => self.handle(Event::Wake),
                () = self.timer_changed.notified() => {}
                () = tokio::time::sleep(QUEUE_RETRY), if self.queue_full.get() => self.retry_queue(),
                _ = check.tick() => self.check_store(),
            }
        }
    }

    /// The writer's queue may have room again.
    fn retry_queue(&self) {
        self.queue_full.set(false);
        if !self.store_down.get() {
            self.handle(Event::StoreUp); // else the writer reports when the store is back
        }
    }

    /// Tells the recorder the wall clock's time, and reports a store that is slow, once.
    fn check_store(&self) {
        // Facts bear the wall clock's time, which may be set while the program runs.
        self.handle(Event::Clock(Clock::new().now()));
        let working_for = self.writer.borrow().as_ref().and_then(Writer::working_for);
        match working_for.filter(|span| *span >= SLOW_AFTER) {
            Some(span) if !self.slow_reported.replace(true) => {
                warn!("store: slow: one operation has taken {span:?} and has not ended");
            }
            Some(_) => {}
            None => self.slow_reported.set(false),
        }
    }

    /// Has the recorder handle an event, and carries out what it asks for. An event that comes up meanwhile waits for
    /// its turn.
    fn handle(&self, event: Event) {
        self.pending_events.borrow_mut().push_back(event);
        self.handle_pending();
    }

    fn handle_pending(&self) {
        if self.handling.replace(true) {
            return; // whoever handles events already does these too
        }
        loop {
            let Some(event) = self.pending_events.borrow_mut().pop_front() else { break };
            let mut actions = Vec::new();
            self.recorder.borrow_mut().handle(self.clock.now(), event, &mut actions);
            self.carry_out(actions);
        }
        self.handling.set(false);
        let wake_at = self.recorder.borrow().wake_at();
        if wake_at.is_some_and(|at| self.timer_at.get().is_none_or(|timer_at| at < timer_at)) {
            self.timer_changed.notify_one();
        }
    }

    fn carry_out(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write { ticket, write } => self.write(ticket, *write),
                Action::IntentPersisted { request, attempt, persisted } => {
                    if let Some(driver) = self.driver.borrow().upgrade() {
                        driver.on_intent_persisted(request, attempt, persisted);
                    }
                }
                Action::EndRequest { request, decision } => {
                    if let Some(driver) = self.driver.borrow().upgrade() {
                        driver.end_by_record(request, decision);
                    }
                }
                Action::Reply { reply, result } => {
                    if let Some(sender) = self.replies.borrow_mut().remove(&reply) {
                        let _ = sender.send(result); // whoever asked may have left
                    }
                }
            }
        }
    }

    fn write(&self, ticket: Ticket, write: Write) {
        let sent = match &*self.writer.borrow() {
            Some(writer) => writer.send(ticket.0, vec![write]),
            None => Err(SendError::Ended),
        };
        let Err(error) = sent else { return };
        let is_full = error == SendError::QueueFull;
        let why = if is_full { StoreFailure::Slow } else { StoreFailure::Failed };
        self.pending_events.borrow_mut().push_back(Event::WriteFailed { ticket, why });
        // The queue has room again soon, and no event reports that. Not at once: on a disk that hangs that would be a busy
        // loop.
        if is_full && !self.queue_full.replace(true) {
            self.timer_changed.notify_one();
        }
    }
}

impl RequestRecorder for RecordService {
    fn records(&self, class: &str) -> bool {
        self.recorder.borrow().records(class)
    }

    fn decide(&self, now: Time, asked: &KeyRequest<'_>) -> KeyDecision {
        let mut actions = Vec::new();
        let decision = self.recorder.borrow_mut().decide(now, *asked, &mut actions);
        // Events that these actions cause wait until all are carried out: writes are sent in the order of their tickets.
        let is_nested = self.handling.replace(true);
        self.carry_out(actions);
        self.handling.set(is_nested);
        self.handle_pending();
        decision
    }

    fn on_event(&self, _: Time, event: Event) {
        self.handle(event);
    }
}

/// A number that clients do not know, from the standard library's own random state.
fn random_secret() -> [u8; 16] {
    use std::hash::{BuildHasher, Hasher};
    let mut secret = [0; 16];
    for half in secret.chunks_mut(8) {
        let drawn = std::hash::RandomState::new().build_hasher().finish();
        half.copy_from_slice(&drawn.to_le_bytes());
    }
    secret
}
