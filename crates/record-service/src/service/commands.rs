//! Commands of operators and the daemon: resolving keys, pruning, recording facts, reconfiguring, flushing and stopping.

use super::RecordService;
use shaletide_record::{chain, Event, Fact, KeyId, RecordConfig, ReplyId, ResolveResult, RowSubject};
use shaletide_store::{Anchor, FactEncoder, SendError};
use shaletide_types::Time;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tracing::{error, info};

/// How long a command waits for its facts to become durable.
const COMMAND_FLUSH: Duration = Duration::from_secs(5);
/// The interval at which a flush checks whether all facts are durable.
const FLUSH_POLL: Duration = Duration::from_millis(5);

/// Why rows were not pruned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PruneError {
    /// The store accepts no writes.
    StoreDown,
    /// The writer did not accept the command.
    NotQueued(SendError),
    /// The store failed with this error.
    Failed(String),
    /// The store was closed before the command was carried out.
    Lost,
    /// The service ended before the command was carried out.
    Stopping,
}

impl fmt::Display for PruneError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PruneError::StoreDown => f.write_str("the store accepts no writes now"),
            PruneError::NotQueued(error) => write!(f, "{error}"),
            PruneError::Failed(error) => f.write_str(error),
            PruneError::Lost => f.write_str("the store was closed before the prune was done"),
            PruneError::Stopping => f.write_str("the proxy is stopping"),
        }
    }
}

impl RecordService {
    /// Sets the configuration, with the digest of the file that it was read from.
    pub fn configure(&self, config: RecordConfig, digest: String) {
        self.recorder.borrow_mut().configure(config);
        let version = self.config_version.get() + 1;
        self.config_version.set(version);
        self.record_fact(Fact::Config { version, digest });
    }

    /// Records a fact that is about no request.
    pub fn record_fact(&self, fact: Fact) {
        self.handle(Event::RecordFact(fact));
    }

    /// Resolves a key in doubt by an operator's statement whether the attempt was executed.
    pub async fn resolve(self: &Rc<Self>, key: KeyId, ran: bool, by: String, note: String) -> ResolveResult {
        let reply = ReplyId(self.next_number());
        let (sender, receiver) = oneshot::channel();
        self.replies.borrow_mut().insert(reply, sender);
        self.handle(Event::Resolve { reply, key, ran, by, note });
        receiver.await.unwrap_or(ResolveResult::StoreDown)
    }

    /// Prunes rows that are older than `before`, and returns how many.
    ///
    /// # Errors
    /// Returns why no rows were pruned, or why it is not known whether any were.
    pub async fn prune(&self, before: Time, by: String) -> Result<u64, String> {
        self.prune_rows(before, by).await.map_err(|error| error.to_string())
    }

    async fn prune_rows(&self, before: Time, by: String) -> Result<u64, PruneError> {
        if self.store_down.get() {
            return Err(PruneError::StoreDown);
        }
        // Counted down from the highest number, as the recorder's tickets count up from 0: the two never collide.
        let ticket = u64::MAX - self.next_number();
        let at = self.clock.now();
        let note: FactEncoder = Box::new(move |anchor: &Anchor| {
            let sum = chain::hex(&anchor.through.sum);
            Fact::Pruned { through: anchor.through.seq, sum, by: by.clone() }.row(at, RowSubject::default())
        });
        let sent = match &*self.writer.borrow() {
            Some(writer) => writer.prune(ticket, before, note),
            None => Err(SendError::Ended),
        };
        sent.map_err(PruneError::NotQueued)?;
        let (sender, receiver) = oneshot::channel();
        self.prunes.borrow_mut().insert(ticket, sender);
        receiver.await.unwrap_or(Err(PruneError::Stopping))
    }

    /// Returns an unused number for a reply or a prune.
    fn next_number(&self) -> u64 {
        self.next_reply.replace(self.next_reply.get() + 1)
    }

    /// Returns whether the writer reported that the store accepts no writes.
    pub fn is_store_down(&self) -> bool {
        self.store_down.get()
    }

    /// Waits until all facts that must not be lost are durable. Returns false if that takes longer than `COMMAND_FLUSH`.
    pub async fn flush(&self) -> bool {
        self.flush_until(Instant::now() + COMMAND_FLUSH).await
    }

    /// Waits until all facts that must not be lost are durable. Returns false if they are not at time `end`.
    pub async fn flush_until(&self, end: Instant) -> bool {
        while self.recorder.borrow().pending_fact_count() > 0 {
            if Instant::now() >= end {
                return false;
            }
            tokio::time::sleep(FLUSH_POLL).await;
        }
        true
    }

    /// Stops the writer. Queued facts are written until `end`, and the number of the remaining ones is logged. An attempt that
    /// was sent has its intent on record, so a key whose end was not written is in doubt at the next start. Blocks.
    pub fn stop(&self, end: Instant) {
        let Some(writer) = self.writer.borrow_mut().take() else { return };
        let ended = writer.stop(end.saturating_duration_since(Instant::now()));
        let recorder = self.recorder.borrow();
        let facts = recorder.pending_fact_count();
        if ended.is_err() || facts > 0 {
            let keys = recorder.unsettled();
            error!("the store did not take its last writes in time: {facts} facts, {keys} keys unsettled");
        }
    }

    /// Logs the state of the record in one line.
    pub fn log_status(&self) {
        let recorder = self.recorder.borrow();
        info!(
            "record: keys unsettled {} served {}, facts on their way {}, left out {}",
            recorder.unsettled(),
            recorder.served(),
            recorder.pending_fact_count(),
            recorder.dropped()
        );
    }
}
