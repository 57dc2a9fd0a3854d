//! `shaletide record`: reads, verifies, copies and changes the store of record.

pub mod args;
mod change;
mod error;
mod export;
mod history;
mod list;
mod offline_store;
mod target;
pub mod text;
mod time_zone;
mod verify;

use args::{Command, KeyArgs, StoreArgs};
use error::CommandError;
use shaletide_store::{Query, StoreReader};
use std::ffi::OsStr;
use std::io::Write;
use std::os::unix::ffi::OsStrExt;
use std::process::ExitCode;
use target::{ReadConfig, Target};
use time_zone::Zone;

/// Runs the command; `read` reads an operators' file.
pub fn run(args: &args::Record, read: ReadConfig) -> ExitCode {
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    let result = dispatch(args, read, &mut out).and_then(|()| Ok(out.flush()?));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            // Prints the results from before the failure, unless the reader has gone.
            let _ = out.flush();
            crate::log::report_failure(&failure.why);
            ExitCode::from(failure.status)
        }
    }
}

fn dispatch(args: &args::Record, read: ReadConfig, out: &mut dyn Write) -> Result<(), CommandError> {
    let zone = Zone::of(args.tz.as_deref())?;
    let target = |place: &StoreArgs| Target::of(place, None, read);
    match &args.command {
        Command::Show { place, key, which } => {
            history::show(&target(place)?.reader()?, &key_of(key, which)?, which, &zone, out)
        }
        Command::List(args) => list::list(&target(&args.place)?.reader()?, args, &zone, out),
        Command::Export { place, format, filter, limit, after } => {
            let query = Query { after_seq: *after, ..list::query(filter, &zone)? };
            export::export(&target(place)?.reader()?, query, *format, limit.unwrap_or(u64::MAX), &zone, out)
        }
        Command::Verify { place, head } => verify::check(&target(place)?.reader()?, head.as_deref(), out),
        Command::Backup { place, to } => {
            target(place)?.reader()?.backup(to)?;
            Ok(writeln!(out, "copied to {}", to.display())?)
        }
        Command::Resolve { key, ran, by, note, place, control, which } => {
            let target = Target::of(place, control.control.as_ref(), read)?;
            let resolution =
                change::KeyResolution { key: key_of(key, which)?, which, ran: *ran == args::YesNo::Yes };
            change::resolve(&target, &resolution, by, note, out)
        }
        Command::Prune { before, by, place, control } => {
            let target = Target::of(place, control.control.as_ref(), read)?;
            change::prune(&target, zone.read("--before", before)?, by, out)
        }
        Command::Correct { of, text, by, note, place, control } => {
            let target = Target::of(place, control.control.as_ref(), read)?;
            let text = match note {
                Some(note) => format!("{text}, because: {note}"),
                None => text.clone(),
            };
            change::correct(&target, *of, by, &text, out)
        }
    }
}

/// Returns the key's bytes.
fn key_of(key: &OsStr, which: &KeyArgs) -> Result<Vec<u8>, CommandError> {
    if !which.hex {
        return Ok(key.as_bytes().to_vec());
    }
    let digits = key.to_string_lossy().into_owned();
    let key = shaletide_control::Key::try_from(digits).map_err(CommandError::invalid)?;
    Ok(key.0)
}
