//! Changes the store of record while no proxy holds it: under its lock, and by the recorder's rules.

use super::error::CommandError;
use super::text;
use super::time_zone::now;
use shaletide_control::Reply;
use shaletide_record::{
    chain, Action, ClaimRejection, Event, Fact, KeyId, KeyState, RecordConfig, Recorder, ReplyId,
    ResolveResult, Row, RowSubject,
};
use shaletide_store::{Anchor, Query, SqliteOptions, SqliteStore, Store, StoreReader};
use shaletide_types::Time;
use std::collections::VecDeque;
use std::path::Path;

/// The most rows that one transaction prunes. Each transaction adds a row that records it.
const ROWS_PER_TRANSACTION: usize = 10_000;

/// The store while no proxy holds it. Each command is a run of its own.
pub struct OfflineStore {
    store: SqliteStore,
    recorder: Recorder,
    run: u64,
    /// Whether the start of this run is recorded.
    started: bool,
}

impl OfflineStore {
    pub fn open(path: &Path) -> Result<OfflineStore, CommandError> {
        let store = SqliteStore::open(&SqliteOptions { create: false, ..SqliteOptions::new(path) })?;
        let run = store.head()?.run.saturating_add(1);
        let now = now();
        // Only this command uses the recorder: it needs neither classes nor a secret, as there are no clients.
        let recorder = Recorder::new(RecordConfig::default(), [0; 16], now, now);
        Ok(OfflineStore { store, recorder, run, started: false })
    }

    /// Passes an event to the recorder and executes its actions; returns its reply, if there is one.
    fn handle(&mut self, event: Event) -> Result<Option<ResolveResult>, CommandError> {
        self.begin()?;
        let mut actions = Vec::new();
        self.recorder.handle(now(), event, &mut actions);
        self.carry_out(actions)
    }

    fn carry_out(&mut self, actions: Vec<Action>) -> Result<Option<ResolveResult>, CommandError> {
        let mut waiting: VecDeque<Action> = actions.into();
        let mut reply = None;
        while let Some(action) = waiting.pop_front() {
            let event = match action {
                Action::Write { ticket, write } => match self.commit(*write)? {
                    Ok(seq) => Event::Committed { ticket, seq },
                    Err(why) => Event::ClaimRejected { ticket, why },
                },
                Action::Reply { result: resolved, .. } => {
                    reply = Some(resolved);
                    continue;
                }
                Action::IntentPersisted { .. } | Action::EndRequest { .. } => continue,
            };
            let mut more = Vec::new();
            self.recorder.handle(now(), event, &mut more);
            waiting.extend(more);
        }
        Ok(reply)
    }

    fn commit(
        &mut self, mut write: shaletide_record::Write,
    ) -> Result<Result<u64, ClaimRejection>, CommandError> {
        write.row.run = self.run;
        let sums = |before: &[u8; 32], row: &Row| chain::sum(before, row);
        let committed = self.store.commit(&[write], &sums);
        let rows = committed
            .map_err(|failed| CommandError::invalid(format!("{failed}: {}", text::explain(&failed.error))))?;
        rows.into_iter().next().ok_or_else(|| CommandError::invalid("the store wrote nothing"))
    }

    pub fn resolve(
        &mut self, id: &KeyId, ran: bool, by: &str, note: &str,
    ) -> Result<ResolveResult, CommandError> {
        let Some(held) = self.store.key(id)? else { return Ok(ResolveResult::Unknown) };
        if held.state == KeyState::Served {
            return Ok(ResolveResult::Served);
        }
        self.begin()?;
        // A key that was in flight when the proxy ended is in doubt from now on.
        let mut actions = Vec::new();
        self.recorder.restore(now(), vec![held], &mut actions);
        self.carry_out(actions)?;
        let event =
            Event::Resolve { reply: ReplyId(1), key: id.clone(), ran, by: by.into(), note: note.into() };
        Ok(self.handle(event)?.unwrap_or(ResolveResult::StoreDown))
    }

    /// Records the start of this run, once.
    fn begin(&mut self) -> Result<(), CommandError> {
        if !self.started {
            self.started = true;
            let proxy = "shaletide record".into();
            let version = env!("CARGO_PKG_VERSION").into();
            let start = Fact::Start { proxy, version, config: 0, digest: String::new() };
            self.handle(Event::RecordFact(start))?;
        }
        Ok(())
    }

    pub fn prune(&mut self, before: Time, by: &str) -> Result<Reply, CommandError> {
        let mut rows = 0;
        let at = now();
        let run = self.run;
        let note = |anchor: &Anchor| {
            let through = anchor.through.seq;
            let sum = chain::hex(&anchor.through.sum);
            Row { run, ..Fact::Pruned { through, sum, by: by.into() }.row(at, RowSubject::default()) }
        };
        let sums = |before: &[u8; 32], row: &Row| chain::sum(before, row);
        loop {
            let step = self.store.prune(before, ROWS_PER_TRANSACTION, &note, &sums)?;
            rows += step.rows;
            if !step.more {
                break;
            }
        }
        Ok(Reply::Done(match rows {
            0 => "no row is older, or the oldest is of a key that is not settled".into(),
            1 => "1 row was pruned".into(),
            rows => format!("{rows} rows were pruned"),
        }))
    }

    pub fn correct(&mut self, of: u64, by: &str, text: &str) -> Result<Reply, CommandError> {
        let query = Query { after_seq: of.saturating_sub(1), limit: 1, ..Query::default() };
        let found = self.store.rows(&query)?.first().is_some_and(|row| row.seq == of);
        if of == 0 || !found {
            return Ok(Reply::Refused(format!("there is no row {of}")));
        }
        self.handle(Event::RecordFact(Fact::Correction { of, by: by.into(), text: text.into() }))?;
        Ok(Reply::Done(format!("on record; row {of} stays as it is")))
    }
}
