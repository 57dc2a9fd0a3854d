//! The store and the control socket that a command uses.

use super::args::StoreArgs;
use super::error::CommandError;
use shaletide_config::operator::OperatorConfig;
use shaletide_store::SqliteReader;
use std::path::{Path, PathBuf};

/// Reads an operators' file; the error says why it cannot be read.
pub type ReadConfig = fn(&Path) -> Result<OperatorConfig, String>;

/// The store and the control socket; at least one of them is known.
pub struct Target {
    pub store: Option<PathBuf>,
    pub control: Option<PathBuf>,
}

impl Target {
    pub fn of(
        place: &StoreArgs, control: Option<&PathBuf>, read: ReadConfig,
    ) -> Result<Target, CommandError> {
        let mut target = Target { store: place.store.clone(), control: control.cloned() };
        if let Some(path) = &place.config {
            let operator = read(path).map_err(|why| CommandError::invalid(why.trim_end()))?;
            let record = operator.record.map(|record| record.path);
            if record.is_none() && target.store.is_none() {
                return Err(CommandError::invalid(format!("{} has no [record]", path.display())));
            }
            target.store = target.store.or(record);
            // An explicitly named store may belong to another proxy: then its lock decides, not this file's socket.
            let names_store = place.store.is_some();
            target.control = target.control.or(operator.control.filter(|_| !names_store));
        }
        if target.store.is_none() && target.control.is_none() {
            let socket = if control.is_some() { ", --control SOCKET" } else { "" };
            return Err(CommandError::invalid(format!(
                "no store is named: give --store FILE{socket} or --config FILE"
            )));
        }
        Ok(target)
    }

    pub fn reader(&self) -> Result<SqliteReader, CommandError> {
        let path =
            self.store.as_ref().ok_or_else(|| CommandError::invalid("give --store FILE or --config FILE"))?;
        Ok(SqliteReader::open(path)?)
    }
}
