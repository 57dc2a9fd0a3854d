//! `NODE_CONFIG`: the platform's configuration of this proxy, and an extension file that adds to it.

use crate::files::{self, ReadMode};
use crate::setup::Setup;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use shaletide_balancer::Micros;
use shaletide_config::operator::{self, decode_utf8, read_extension, PlatformNames, PoolSource};
use shaletide_config::platform::{self, NodeIdentity, SettingsError};
use shaletide_config::Report;
use shaletide_membership::List;
use shaletide_net::is_shortage;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The largest size of NODE_CONFIG, in bytes. It includes the list that was known before a restart.
const MAX_FILE: usize = 64 << 20;

/// The platform waits for the longest deadline at a planned restart, but at most this long.
const LONGEST_STOP: Micros = Micros(3_000_000);

/// Why the configuration cannot be used.
#[derive(Debug)]
#[non_exhaustive]
pub enum NodeError {
    Unreadable(PathBuf, std::io::Error),
    Malformed(PathBuf, serde_json::Error),
    /// The seed is not a number.
    Seed,
    Settings(SettingsError),
    Extension(Report),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeError::Unreadable(path, e) => write!(f, "cannot read {}: {e}", path.display()),
            NodeError::Malformed(path, e) => write!(f, "NODE_CONFIG {}: {e}", path.display()),
            NodeError::Seed => f.write_str("settings: seed: expected a number or up to 16 hex digits"),
            NodeError::Settings(error) => write!(f, "settings: {error}"),
            NodeError::Extension(report) => write!(f, "{report}"),
        }
    }
}

impl std::error::Error for NodeError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            NodeError::Unreadable(_, e) => Some(e),
            NodeError::Malformed(_, e) => Some(e),
            NodeError::Extension(report) => Some(report),
            NodeError::Settings(error) => Some(error),
            NodeError::Seed => None,
        }
    }
}

impl NodeError {
    /// Returns whether the file may not be completely written yet: it is missing, cannot be read now, or is truncated. A file
    /// that is written only in part is never complete JSON, so that a complete file that is invalid is an error.
    pub fn is_transient(&self) -> bool {
        match self {
            NodeError::Unreadable(_, error) => {
                let is_missing = error.kind() == std::io::ErrorKind::NotFound;
                is_missing || is_shortage(error) || is_failing_disk(error)
            }
            NodeError::Malformed(_, error) => error.is_eof() || error.is_syntax(),
            NodeError::Seed | NodeError::Settings(_) | NodeError::Extension(_) => false,
        }
    }
}

/// Returns whether the disk or file system fails, perhaps temporarily: EIO or ESTALE.
fn is_failing_disk(error: &std::io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EIO | libc::ESTALE))
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: serde_json::Value,
    #[serde(default)]
    limits: serde_json::Value,
    #[serde(default)]
    known: serde_json::Value,
    settings: serde_json::Value,
}

/// The number of file descriptors if the file does not set it: what the platform grants.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// The least number of file descriptors: the reserve, one client and one connection to a backend. A smaller number is raised
/// to this.
const MIN_DESCRIPTORS: usize = 64;

/// The part of the file that may change while the program runs.
#[derive(Deserialize)]
struct Changeable {
    discovery: SocketAddr,
}

fn file<T: DeserializeOwned>(path: &Path, reading: ReadMode) -> Result<T, NodeError> {
    let bytes = files::read(path, MAX_FILE, reading).map_err(|e| NodeError::Unreadable(path.into(), e))?;
    serde_json::from_slice(&bytes).map_err(|e| NodeError::Malformed(path.into(), e))
}

/// Returns the number of file descriptors that the process may hold. JSON does not distinguish 1024 from 1024.0; a negative
/// number or a text counts as absent.
fn descriptors(limits: &serde_json::Value) -> usize {
    let number = limits.get("sockets").and_then(serde_json::Value::as_f64);
    number.filter(|n| (0.0..=f64::from(u32::MAX)).contains(n)).map_or(DEFAULT_DESCRIPTORS, |n| n as usize)
}

/// Reads the cached list, which only bridges the time until discovery answers. A list that cannot be read is ignored: a proxy
/// that does not start is worse than one that knows no backend for that long.
fn cached_list(value: serde_json::Value) -> List {
    if value.is_null() {
        return List::default();
    }
    serde_json::from_value(value).unwrap_or_else(|e| {
        tracing::warn!("the cached list (`known`) cannot be read and is ignored: {e}");
        List::default()
    })
}

/// Reads `NODE_CONFIG` without an extension file.
pub fn read(path: &Path) -> Result<Setup, NodeError> {
    let file: File = file(path, ReadMode::First)?;
    let hex = file.seed.as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
    let seed = hex.or(file.seed.as_u64());
    let node = NodeIdentity {
        name: file.name,
        listen: file.listen,
        discovery: file.discovery,
        seed: seed.ok_or(NodeError::Seed)?,
        descriptors: descriptors(&file.limits).max(MIN_DESCRIPTORS),
    };
    let (operator, names) = platform::operator_config(node, &file.settings).map_err(NodeError::Settings)?;
    Ok(Setup {
        operator,
        zones: names.zones().to_vec(),
        server_types: names.server_types().to_vec(),
        cached_list: cached_list(file.known),
        fractional_retry_after: true,
        max_stop_duration: Some(LONGEST_STOP),
        expires_unconfirmed_list: platform::has_drain_grace(&file.settings),
        record: None,
        listen_patience: None,
    })
}

/// Returns the setup read from `NODE_CONFIG` at the start, extended by the file `with` as it is now.
pub fn extended(bare: &Setup, with: Option<&Path>) -> Result<Setup, NodeError> {
    let mut setup = bare.clone();
    if let Some(with) = with {
        extend(&mut setup, with, ReadMode::First)?;
    }
    Ok(setup)
}

/// Reads what a reload can change: the discovery address in `NODE_CONFIG`, and nothing else there, and the extension file.
pub fn read_again(bare: &Setup, path: &Path, with: Option<&Path>) -> Result<Setup, NodeError> {
    let changed: Changeable = file(path, ReadMode::Again)?;
    let mut next = bare.clone();
    if let Some(with) = with {
        extend(&mut next, with, ReadMode::Again)?;
    }
    if let Some(PoolSource::Discovery { address, .. }) =
        next.operator.pools.first_mut().map(|p| &mut p.source)
    {
        *address = changed.discovery;
    }
    Ok(next)
}

fn extend(setup: &mut Setup, with: &Path, reading: ReadMode) -> Result<(), NodeError> {
    let bytes = files::read(with, operator::MAX_FILE_BYTES, reading)
        .map_err(|e| NodeError::Unreadable(with.into(), e))?;
    let name = with.display().to_string();
    let names = PlatformNames {
        classes: setup.operator.classes.iter().map(|c| c.name.clone()).collect(),
        tenants: setup.operator.tenants.clone(),
    };
    let text = decode_utf8(&name, &bytes).map_err(NodeError::Extension)?;
    setup.extend(read_extension(&name, text, &names).map_err(NodeError::Extension)?);
    Ok(())
}
