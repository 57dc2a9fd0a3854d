//! What changes the store: through the proxy that holds it, or, when none does, with its lock in hand and by the
//! recorder's own rules.

use super::args::KeyArgs;
use super::error::CommandError;
use super::target::Target;
use super::time_zone::now;
use super::{list, text};
use shaletide_control::{ask, Command, ControlError, Key, Reply};
use shaletide_record::{
    chain, About, Action, ClaimRejection, Event, Fact, KeyId, KeyState, RecordConfig, Recorder, ReplyId,
    ResolveResult, Row,
};
use shaletide_store::{Anchor, Query, SqliteOptions, SqliteStore, Store, StoreReader};
use shaletide_types::{causes, Time};
use std::collections::{BTreeSet, VecDeque};
use std::io::Write;
use std::path::Path;

/// Rows pruned in one transaction, for each of which a row tells of it.
const STEP: usize = 10_000;

/// A key in doubt, and whether its attempt ran.
pub struct KeyResolution<'a> {
    pub key: Vec<u8>,
    pub which: &'a KeyArgs,
    pub ran: bool,
}

pub fn resolve(
    target: &Target, doubt: &KeyResolution<'_>, by: &str, note: &str, out: &mut dyn Write,
) -> Result<(), CommandError> {
    let id = find_key(target, doubt)?;
    let command = Command::Resolve {
        tenant: id.tenant.clone(),
        class: id.class.clone(),
        key: Key(id.key.clone()),
        ran: doubt.ran,
        by: by.into(),
        note: note.into(),
    };
    done(target, &command, out, |alone| {
        let came = alone.resolve(&id, doubt.ran, by, note)?;
        Ok(text::resolved(came, doubt.ran))
    })
}

pub fn prune(target: &Target, before: Time, by: &str, out: &mut dyn Write) -> Result<(), CommandError> {
    let command = Command::Prune { before: before.0, by: by.into() };
    done(target, &command, out, |alone| alone.prune(before, by))
}

pub fn correct(
    target: &Target, of: u64, by: &str, text: &str, out: &mut dyn Write,
) -> Result<(), CommandError> {
    let command = Command::Correct { of, by: by.into(), text: text.into() };
    done(target, &command, out, |alone| alone.correct(of, by, text))
}

/// The one key that is meant; of those that the store knows where tenant or class were left out.
fn find_key(target: &Target, doubt: &KeyResolution<'_>) -> Result<KeyId, CommandError> {
    let KeyResolution { key, which, .. } = doubt;
    if let (Some(tenant), Some(class)) = (&which.tenant, &which.class) {
        return Ok(KeyId { tenant: tenant.clone(), class: class.clone(), key: key.clone() });
    }
    if target.store.is_none() {
        return Err(CommandError::invalid(
            "give --tenant and --class, or --store or --config to look them up",
        ));
    }
    let store = target.reader()?;
    let mut query = Query {
        key: Some(key.clone()),
        tenant: which.tenant.clone(),
        class: which.class.clone(),
        ..Query::default()
    };
    // Those on record need not be held, and one that is held may have been pruned but for its last rows.
    // All of them: a client that comes again and again fills pages with one.
    let mut known: BTreeSet<KeyId> = BTreeSet::new();
    loop {
        let page = list::rows(&store, &mut query, u64::MAX)?;
        if page.is_empty() {
            break;
        }
        known.extend(page.into_iter().filter_map(|row| row.key));
    }
    let mut held = Vec::new();
    for id in known {
        if store.key(&id)?.is_some() {
            held.push(id);
        }
    }
    match held.as_slice() {
        [one] => Ok(one.clone()),
        [] => Err(CommandError::negative(format!(
            "the key {} is not in doubt: it is free, or was never there",
            text::key(key)
        ))),
        several => {
            let all: Vec<String> = several.iter().map(text::arguments).collect();
            Err(CommandError::invalid(format!("which of these?\n  {}", all.join("\n  "))))
        }
    }
}

/// Asks the proxy, or does it alone where none is there.
fn done(
    target: &Target, command: &Command, out: &mut dyn Write,
    alone: impl FnOnce(&mut OfflineStore) -> Result<Reply, CommandError>,
) -> Result<(), CommandError> {
    command.check().map_err(|why| CommandError::invalid(format!("--{why}")))?;
    let reply = match (&target.control, &target.store) {
        (Some(socket), store) => match (ask(socket, command), store) {
            (Ok(reply), _) => reply,
            (Err(ControlError::Absent { .. }), Some(store)) => alone(&mut OfflineStore::open(store)?)?,
            (Err(error @ ControlError::Absent { .. }), None) => {
                return Err(CommandError::invalid(format!(
                    "{error}; with --store FILE this works while no proxy runs"
                )));
            }
            (Err(error), _) => return Err(CommandError::invalid(causes(&error))),
        },
        (None, Some(store)) => alone(&mut OfflineStore::open(store)?)?,
        (None, None) => return Err(CommandError::invalid("give --store, --control or --config")),
    };
    match reply {
        Reply::Done(said) => Ok(writeln!(out, "{}", text::one_line(&said))?),
        Reply::Refused(why) => Err(CommandError::negative(text::one_line(&why))),
        Reply::Senseless(why) => Err(CommandError::invalid(text::one_line(&why))),
        other => {
            Err(CommandError::invalid(format!("the proxy says what this version does not know: {other:?}")))
        }
    }
}

/// The store while no proxy has it, as a run of its own.
struct OfflineStore {
    store: SqliteStore,
    recorder: Recorder,
    run: u64,
    /// The start of this run is on record.
    started: bool,
}

impl OfflineStore {
    fn open(path: &Path) -> Result<OfflineStore, CommandError> {
        let store = SqliteStore::open(&SqliteOptions { create: false, ..SqliteOptions::new(path) })?;
        let run = store.head()?.run.saturating_add(1);
        let now = now();
        // Nothing is asked of it but by this command: no class, and no secret, as there are no clients.
        let recorder = Recorder::new(RecordConfig::default(), [0; 16], now, now);
        Ok(OfflineStore { store, recorder, run, started: false })
    }

    /// Tells the recorder, and has written what it wants written.
    fn tell(&mut self, event: Event) -> Result<Option<ResolveResult>, CommandError> {
        self.begin()?;
        let mut actions = Vec::new();
        self.recorder.handle(now(), event, &mut actions);
        self.carry_out(actions)
    }

    fn carry_out(&mut self, actions: Vec<Action>) -> Result<Option<ResolveResult>, CommandError> {
        let mut waiting: VecDeque<Action> = actions.into();
        let mut came = None;
        while let Some(action) = waiting.pop_front() {
            let event = match action {
                Action::Write { ticket, write } => match self.commit(*write)? {
                    Ok(seq) => Event::Committed { ticket, seq },
                    Err(why) => Event::ClaimRejected { ticket, why },
                },
                Action::Reply { result: resolved, .. } => {
                    came = Some(resolved);
                    continue;
                }
                Action::IntentPersisted { .. } | Action::EndRequest { .. } => continue,
            };
            let mut more = Vec::new();
            self.recorder.handle(now(), event, &mut more);
            waiting.extend(more);
        }
        Ok(came)
    }

    fn commit(
        &mut self, mut write: shaletide_record::Write,
    ) -> Result<Result<u64, ClaimRejection>, CommandError> {
        write.row.run = self.run;
        let sums = |before: &[u8; 32], row: &Row| chain::sum(before, row);
        let committed = self.store.commit(&[write], &sums);
        let rows = committed
            .map_err(|failed| CommandError::invalid(format!("{failed}: {}", text::trouble(&failed.error))))?;
        rows.into_iter().next().ok_or_else(|| CommandError::invalid("the store wrote nothing"))
    }

    fn resolve(
        &mut self, id: &KeyId, ran: bool, by: &str, note: &str,
    ) -> Result<ResolveResult, CommandError> {
        let Some(held) = self.store.key(id)? else { return Ok(ResolveResult::Unknown) };
        if held.state == KeyState::Served {
            return Ok(ResolveResult::Served);
        }
        self.begin()?;
        // What was in flight when the proxy ended is in doubt from now on.
        let mut actions = Vec::new();
        self.recorder.restore(now(), vec![held], &mut actions);
        self.carry_out(actions)?;
        let event =
            Event::Resolve { reply: ReplyId(1), key: id.clone(), ran, by: by.into(), note: note.into() };
        Ok(self.tell(event)?.unwrap_or(ResolveResult::StoreDown))
    }

    fn begin(&mut self) -> Result<(), CommandError> {
        if !self.started {
            self.started = true;
            let (proxy, version) = ("shaletide record".into(), env!("CARGO_PKG_VERSION").into());
            let start = Fact::Start { proxy, version, config: 0, digest: String::new() };
            self.tell(Event::RecordFact(start))?;
        }
        Ok(())
    }

    fn prune(&mut self, before: Time, by: &str) -> Result<Reply, CommandError> {
        let (mut rows, at, run) = (0, now(), self.run);
        let note = |anchor: &Anchor| {
            let (through, sum) = (anchor.through.seq, chain::hex(&anchor.through.sum));
            Row { run, ..Fact::Pruned { through, sum, by: by.into() }.row(at, About::default()) }
        };
        let sums = |before: &[u8; 32], row: &Row| chain::sum(before, row);
        loop {
            let step = self.store.prune(before, STEP, &note, &sums)?;
            rows += step.rows;
            if !step.more {
                break;
            }
        }
        Ok(Reply::Done(match rows {
            0 => "no row is older, or the oldest is of a key that is not settled".into(),
            1 => "1 row was taken out".into(),
            rows => format!("{rows} rows were taken out"),
        }))
    }

    fn correct(&mut self, of: u64, by: &str, text: &str) -> Result<Reply, CommandError> {
        let query = Query { after_seq: of.saturating_sub(1), limit: 1, ..Query::default() };
        let found = self.store.rows(&query)?.first().is_some_and(|row| row.seq == of);
        if of == 0 || !found {
            return Ok(Reply::Refused(format!("there is no row {of}")));
        }
        self.tell(Event::RecordFact(Fact::Correction { of, by: by.into(), text: text.into() }))?;
        Ok(Reply::Done(format!("on record; row {of} stays as it is")))
    }
}
