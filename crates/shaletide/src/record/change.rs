//! Commands that change the store: through the proxy that holds it, or directly if none does.

use super::args::KeyArgs;
use super::error::CommandError;
use super::offline_store::OfflineStore;
use super::target::Target;
use super::{list, text};
use shaletide_control::{send_command, Command, ControlError, Key, Reply};
use shaletide_record::KeyId;
use shaletide_store::{Query, SqliteReader, StoreReader};
use shaletide_types::{error_chain, Time};
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

/// Returns the key that the arguments select. If tenant or class is missing, looks for it among the store's keys.
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
            "the key {} is not in doubt: it is free, or is not known",
            text::key(key)
        ))),
        several => {
            let all: Vec<String> = several.iter().map(text::arguments).collect();
            Err(CommandError::invalid(format!(
                "several keys match, give --tenant and --class:\n  {}",
                all.join("\n  ")
            )))
        }
    }
}

/// Returns the keys of all rows that match the query. Reads all pages, as a client that repeats a request often fills pages
/// with one key. The store need not hold these keys, and all but the last rows of a held key may have been pruned.
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

/// Sends the command to the proxy, or changes the store directly if no proxy runs.
fn apply(
    target: &Target, command: &Command, out: &mut dyn Write,
    offline: impl FnOnce(&mut OfflineStore) -> Result<Reply, CommandError>,
) -> Result<(), CommandError> {
    command.check().map_err(|why| CommandError::invalid(format!("--{why}")))?;
    let reply = match (&target.control, &target.store) {
        (Some(socket), store) => match (send_command(socket, command), store) {
            (Ok(reply), _) => reply,
            (Err(ControlError::Absent { .. }), Some(store)) => offline(&mut OfflineStore::open(store)?)?,
            (Err(error @ ControlError::Absent { .. }), None) => {
                return Err(CommandError::invalid(format!(
                    "{error}; give --store FILE to change the store while no proxy runs"
                )));
            }
            (Err(error), _) => return Err(CommandError::invalid(error_chain(&error))),
        },
        (None, Some(store)) => offline(&mut OfflineStore::open(store)?)?,
        (None, None) => return Err(CommandError::invalid("give --store, --control or --config")),
    };
    match reply {
        Reply::Done(message) => Ok(writeln!(out, "{}", text::one_line(&message))?),
        Reply::Refused(why) => Err(CommandError::negative(text::one_line(&why))),
        Reply::Senseless(why) => Err(CommandError::invalid(text::one_line(&why))),
        other => {
            Err(CommandError::invalid(format!("the proxy sent a reply unknown to this version: {other:?}")))
        }
    }
}
