//! `shaletide record`: the store of record read, checked, copied, and changed by those who may.

pub mod args;
mod change;
mod export;
mod list;
mod show;
mod when;
pub mod words;

use args::{Command, Place, Which};
use shaletide_config::operator::OperatorConfig;
use shaletide_record::{chain, Fact, Row};
use shaletide_store::{verify, Broken, Head, Query, SqliteReader, StoreError, StoreReader};
use shaletide_types::causes;
use std::ffi::OsStr;
use std::io::Write;
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use when::Zone;

/// Rows read at a time.
const PAGE: usize = 1_000;

/// Why a command did not do as asked.
#[derive(Debug)]
pub struct Failure {
    status: u8,
    why: String,
}

impl Failure {
    /// It makes no sense, or cannot be read.
    fn senseless(why: impl Into<String>) -> Failure {
        Failure { status: 2, why: why.into() }
    }

    /// The answer is no.
    fn no(why: impl Into<String>) -> Failure {
        Failure { status: 1, why: why.into() }
    }
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Failure {
        Failure::senseless(words::trouble(&error))
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Failure {
        Failure::senseless(format!("cannot write: {error}"))
    }
}

/// What a command is told of an operators' file.
type ReadConfig = fn(&Path) -> Result<OperatorConfig, String>;

/// Does as asked; `read` reads an operators' file.
pub fn run(asked: &args::Record, read: ReadConfig) -> ExitCode {
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    let done = dispatch(asked, read, &mut out).and_then(|()| Ok(out.flush()?));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            // What was found before that, unless nobody listens any more.
            let _ = out.flush();
            crate::log::say_failure(&failure.why);
            ExitCode::from(failure.status)
        }
    }
}

fn dispatch(asked: &args::Record, read: ReadConfig, out: &mut dyn Write) -> Result<(), Failure> {
    let zone = Zone::of(asked.tz.as_deref())?;
    let places = |place: &Place| Places::of(place, None, read);
    match &asked.command {
        Command::Show { place, key, which } => {
            show::show(&places(place)?.reader()?, &key_of(key, which)?, which, &zone, out)
        }
        Command::List(asked) => list::list(&places(&asked.place)?.reader()?, asked, &zone, out),
        Command::Export { place, format, filter, limit, after } => {
            let query = Query { after_seq: *after, ..list::query(filter, &zone)? };
            export::export(&places(place)?.reader()?, query, *format, limit.unwrap_or(u64::MAX), &zone, out)
        }
        Command::Verify { place, head } => check(&places(place)?.reader()?, head.as_deref(), out),
        Command::Backup { place, to } => {
            places(place)?.reader()?.backup(to)?;
            Ok(writeln!(out, "copied to {}", to.display())?)
        }
        Command::Resolve { key, ran, by, note, place, control, which } => {
            let places = Places::of(place, control.control.as_ref(), read)?;
            let doubt = change::Doubt { key: key_of(key, which)?, which, ran: *ran == args::YesNo::Yes };
            change::resolve(&places, &doubt, by, note, out)
        }
        Command::Prune { before, by, place, control } => {
            let places = Places::of(place, control.control.as_ref(), read)?;
            change::prune(&places, zone.read("--before", before)?, by, out)
        }
        Command::Correct { of, text, by, note, place, control } => {
            let places = Places::of(place, control.control.as_ref(), read)?;
            let text = match note {
                Some(note) => format!("{text}, because: {note}"),
                None => text.clone(),
            };
            change::correct(&places, *of, by, &text, out)
        }
    }
}

/// The key's bytes.
fn key_of(key: &OsStr, which: &Which) -> Result<Vec<u8>, Failure> {
    if !which.hex {
        return Ok(key.as_bytes().to_vec());
    }
    let digits = key.to_string_lossy().into_owned();
    let key = shaletide_control::Key::try_from(digits).map_err(Failure::senseless)?;
    Ok(key.0)
}

/// The store and the socket.
pub(crate) struct Places {
    store: Option<PathBuf>,
    control: Option<PathBuf>,
}

impl Places {
    fn of(place: &Place, control: Option<&PathBuf>, read: ReadConfig) -> Result<Places, Failure> {
        let mut places = Places { store: place.store.clone(), control: control.cloned() };
        if let Some(path) = &place.config {
            let operator = read(path).map_err(|why| Failure::senseless(why.trim_end()))?;
            let record = operator.record.map(|record| record.path);
            if record.is_none() && places.store.is_none() {
                return Err(Failure::senseless(format!("{} has no [record]", path.display())));
            }
            places.store = places.store.or(record);
            // A store that was named as well may be another's: only its own lock counts then.
            let other = place.store.is_some();
            places.control = places.control.or(operator.control.filter(|_| !other));
        }
        if places.store.is_none() && places.control.is_none() {
            let socket = if control.is_some() { ", --control SOCKET" } else { "" };
            return Err(Failure::senseless(format!(
                "which store? Give --store FILE{socket} or --config FILE"
            )));
        }
        Ok(places)
    }

    fn reader(&self) -> Result<SqliteReader, Failure> {
        let path =
            self.store.as_ref().ok_or_else(|| Failure::senseless("give --store FILE or --config FILE"))?;
        Ok(SqliteReader::open(path)?)
    }
}

/// Whether every row is as it was written.
fn check(store: &dyn StoreReader, noted: Option<&str>, out: &mut dyn Write) -> Result<(), Failure> {
    let noted = noted.map(head_of).transpose()?;
    let sums = |before: &[u8; 32], row: &Row| chain::sum(before, row);
    let verified = verify(store, &sums, noted).map_err(|broken| match &broken {
        Broken::Unreadable(StoreError::Corrupt(_)) => Failure::no(format!("broken: {}", causes(&broken))),
        Broken::Unreadable(_) => Failure::senseless(causes(&broken)),
        _ => Failure::no(format!("broken: {broken}")),
    })?;
    if let Some(anchor) = store.anchor()? {
        if !is_named(store, &anchor.through)? {
            let through = anchor.through.seq;
            let why = format!("rows up to {through} were taken out, and no row says by whom");
            return Err(Failure::no(format!("broken: {why}")));
        }
    }
    let head = verified.head.to_string();
    Ok(writeln!(
        out,
        "whole: {} rows, {} taken out before them\nhead {head}",
        verified.rows, verified.pruned
    )?)
}

fn head_of(text: &str) -> Result<Head, Failure> {
    let parsed = text.split_once(':').and_then(|(seq, sum)| {
        let sum = shaletide_control::Key::try_from(sum.to_string()).ok()?;
        Some(Head { seq: seq.parse().ok()?, sum: sum.0.try_into().ok()?, run: 0 })
    });
    parsed.ok_or_else(|| Failure::senseless(format!("--head {text}: expected ROW:SUM as verify prints it")))
}

/// Whether a row says that all up to this one was taken out.
fn is_named(store: &dyn StoreReader, through: &Head) -> Result<bool, StoreError> {
    let sum = chain::hex(&through.sum);
    let names = |row: &Row| match Fact::of(row) {
        Fact::Pruned { through: seq, sum: is, .. } => seq == through.seq && is == sum,
        _ => false,
    };
    let mut query = Query { kind: Some("pruned".into()), ..Query::default() };
    loop {
        let page = list::rows(store, &mut query, u64::MAX)?;
        if page.is_empty() || page.iter().any(names) {
            return Ok(!page.is_empty());
        }
    }
}
