//! Runs the recorder and the store's writer: handles events one after the other and carries out the resulting actions.

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

/// The delay before writes are sent again after the writer's queue was full.
const QUEUE_RETRY: Duration = Duration::from_millis(20);
/// The `Retry-After` of requests that are rejected while the store is down.
pub(crate) const STORE_RETRY_AFTER: Micros = Micros(1_000_000);
/// The duration of one operation after which the store is reported as slow, and the interval between the checks.
const SLOW_AFTER: Duration = Duration::from_secs(1);

/// The identity of a run, which its first fact records.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// The proxy's name.
    pub proxy: String,
    /// The program's version.
    pub version: String,
    /// The configuration's digest.
    pub digest: String,
}

/// Connects the recorder to the driver and to the store's writer.
pub struct RecordService {
    recorder: RefCell<Recorder>,
    /// The writer; `None` once it was stopped.
    writer: RefCell<Option<Writer>>,
    driver: RefCell<Weak<Driver>>,
    clock: Clock,
    /// Events that arose while others were handled.
    pending_events: RefCell<VecDeque<Event>>,
    /// Whether events are being handled by a caller further up the stack.
    handling: Cell<bool>,
    /// Wakes [`RecordService::process_events`] when the timer is due earlier or the queue was full.
    timer_changed: Notify,
    /// The time at which the timer of [`RecordService::process_events`] is due.
    timer_at: Cell<Option<Time>>,
    /// The channels of callers that wait for a resolution.
    replies: RefCell<HashMap<ReplyId, oneshot::Sender<ResolveResult>>>,
    next_reply: Cell<u64>,
    /// The channels of callers that wait for a prune, by ticket.
    prunes: RefCell<HashMap<u64, oneshot::Sender<Result<u64, PruneError>>>>,
    /// Whether the last event from the writer about its state was that the store accepts no writes.
    store_down: Cell<bool>,
    /// Whether the writer's queue was full. The rejected writes are sent again after [`QUEUE_RETRY`].
    queue_full: Cell<bool>,
    /// Whether the store's present operation was reported as slow.
    slow_reported: Cell<bool>,
    /// The version of the configuration, counted from the start of this run.
    config_version: Cell<u64>,
}

impl RecordService {
    /// Restores the state from an open store and starts its writer. The receiver is for [`RecordService::process_events`].
    ///
    /// # Errors
    /// Fails if the system provides no thread, or no descriptors for the channel on which it reports.
    pub(crate) fn begin(
        path: &Path, contents: StoreContents, config: RecordConfig, clock: Clock, run: Run,
    ) -> Result<(Rc<RecordService>, ThreadReceiver<WriterEvent>), StoreError> {
        let StoreContents { store, head, keys } = contents;
        info!("the store of record has {} rows and {} keys, head {}", head.seq, keys.len(), head);
        if head.seq == 0 && keys.is_empty() {
            let path = path.canonicalize().unwrap_or_else(|_| path.to_path_buf());
            warn!("created a new store of record at {}: no key is known", path.display());
        }
        let now = clock.now();
        let mut recorder = Recorder::new(config, random_secret(), now, now);
        // The channel has no bound of its own, but there are only one or two events per ticket, and the recorder bounds its
        // tickets.
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

    /// Becomes the recorder of this driver.
    pub fn attach_to(self: &Rc<Self>, driver: &Rc<Driver>) {
        self.driver.replace(Rc::downgrade(driver));
        driver.set_recorder(self.clone());
    }

    /// Handles the writer's events and runs the recorder's timer, until the writer ends.
    pub async fn process_events(self: Rc<Self>, mut writer_events: ThreadReceiver<WriterEvent>) {
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

    /// Has the recorder send unsent writes again, as the writer's queue may have room.
    fn retry_queue(&self) {
        self.queue_full.set(false);
        if !self.store_down.get() {
            self.handle(Event::StoreUp); // otherwise the writer reports when the store is back
        }
    }

    /// Updates the recorder's wall clock, and logs once if the store is slow.
    fn check_store(&self) {
        // Facts are stamped with the wall clock's time, which may be set while the program runs.
        self.handle(Event::Clock(Clock::new().now()));
        let working_for = self.writer.borrow().as_ref().and_then(Writer::working_for);
        match working_for.filter(|span| *span >= SLOW_AFTER) {
            Some(span) if !self.slow_reported.replace(true) => {
                warn!("store: slow: an operation is still running after {span:?}");
            }
            Some(_) => {}
            None => self.slow_reported.set(false),
        }
    }

    /// Passes an event to the recorder and carries out the resulting actions. An event that arises meanwhile is queued.
    fn handle(&self, event: Event) {
        self.pending_events.borrow_mut().push_back(event);
        self.handle_pending();
    }

    fn handle_pending(&self) {
        if self.handling.replace(true) {
            return; // the caller that is handling events already handles these too
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
                        let _ = sender.send(result); // the receiver may have been dropped
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
        // The queue has room again soon, but no event reports that. The retry is delayed: an immediate one would be a busy
        // loop while the disk hangs.
        if is_full && !self.queue_full.replace(true) {
            self.timer_changed.notify_one();
        }
    }
}

impl RequestRecorder for RecordService {
    fn records(&self, class: &str) -> bool {
        self.recorder.borrow().records(class)
    }

    fn decide(&self, now: Time, key_request: &KeyRequest<'_>) -> KeyDecision {
        let mut actions = Vec::new();
        let decision = self.recorder.borrow_mut().decide(now, *key_request, &mut actions);
        // Events caused by these actions wait until all of them are carried out, so that writes are sent in ticket order.
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

/// Returns a number that clients do not know, drawn from the standard library's random state.
fn random_secret() -> [u8; 16] {
    use std::hash::{BuildHasher, Hasher};
    let mut secret = [0; 16];
    for half in secret.chunks_mut(8) {
        let drawn = std::hash::RandomState::new().build_hasher().finish();
        half.copy_from_slice(&drawn.to_le_bytes());
    }
    secret
}
