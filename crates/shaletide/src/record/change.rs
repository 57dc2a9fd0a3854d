//! Commands that change the store: through the proxy that holds it, or directly where none does.

use super::args::KeyArgs;
use super::error::CommandError;
use super::offline_store::OfflineStore;
use super::target::Target;
use super::{list, text};
use shaletide_control::{ask, Command, ControlError, Key, Reply};
use shaletide_record::KeyId;
use shaletide_store::{Query, SqliteReader, StoreReader};
use shaletide_types::{causes, Time};
use std::collections::BTreeSet;
use std::io::Write;

/// A key in doubt, and whether its attempt ran.
pub struct KeyResolution<'a> {
    pub key: Vec<u8>,
    pub which: &'a KeyArgs,
    pub ran: bool,
}

pub fn resolve(
    target: &Target, resolution: &KeyResolution<'_>, by: &str, note: &str, out: &mut dyn Write,
) -> Result<(), CommandError> {
    let id = find_key(target, resolution)?;
    let command = Command::Resolve {
        tenant: id.tenant.clone(),
        class: id.class.clone(),
        key: Key(id.key.clone()),
        ran: resolution.ran,
        by: by.into(),
        note: note.into(),
    };
    apply(target, &command, out, |store| {
        let result = store.resolve(&id, resolution.ran, by, note)?;
        Ok(text::resolved(result, resolution.ran))
    })
}

pub fn prune(target: &Target, before: Time, by: &str, out: &mut dyn Write) -> Result<(), CommandError> {
    let command = Command::Prune { before: before.0, by: by.into() };
    apply(target, &command, out, |store| store.prune(before, by))
}

pub fn correct(
    target: &Target, of: u64, by: &str, text: &str, out: &mut dyn Write,
) -> Result<(), CommandError> {
    let command = Command::Correct { of, by: by.into(), text: text.into() };
    apply(target, &command, out, |store| store.correct(of, by, text))
}

/// The one key that is meant; of those that the store knows where tenant or class were left out.
fn find_key(target: &Target, resolution: &KeyResolution<'_>) -> Result<KeyId, CommandError> {
    let KeyResolution { key, which, .. } = resolution;
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
    let mut held = Vec::new();
    for id in recorded_keys(&store, &mut query)? {
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

/// The keys of all rows of that query: a client that comes again and again fills pages with one. They need not be held,
/// and one that is held may have been pruned but for its last rows.
fn recorded_keys(store: &SqliteReader, query: &mut Query) -> Result<BTreeSet<KeyId>, CommandError> {
    let mut keys = BTreeSet::new();
    loop {
        let page = list::rows(store, query, u64::MAX)?;
        if page.is_empty() {
            return Ok(keys);
        }
        keys.extend(page.into_iter().filter_map(|row| row.key));
    }
}

/// Sends the command to the proxy, or changes the store directly where none is there.
fn apply(
    target: &Target, command: &Command, out: &mut dyn Write,
    offline: impl FnOnce(&mut OfflineStore) -> Result<Reply, CommandError>,
) -> Result<(), CommandError> {
    command.check().map_err(|why| CommandError::invalid(format!("--{why}")))?;
    let reply = match (&target.control, &target.store) {
        (Some(socket), store) => match (ask(socket, command), store) {
            (Ok(reply), _) => reply,
            (Err(ControlError::Absent { .. }), Some(store)) => offline(&mut OfflineStore::open(store)?)?,
            (Err(error @ ControlError::Absent { .. }), None) => {
                return Err(CommandError::invalid(format!(
                    "{error}; with --store FILE this works while no proxy runs"
                )));
            }
            (Err(error), _) => return Err(CommandError::invalid(causes(&error))),
        },
        (None, Some(store)) => offline(&mut OfflineStore::open(store)?)?,
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
