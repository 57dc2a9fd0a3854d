//! Writes sites as TOML files into a folder. An existing file with other content is never overwritten.

use crate::cli::{Request, COMPANION_FILES};
use crate::model::Site;
use crate::validate::{validate, Violation};
use std::path::{Path, PathBuf};
use std::{fmt, fs, io};

/// Why a site could not be written.
#[derive(Debug)]
#[non_exhaustive]
pub enum WriteError {
    /// The site is invalid: a bug in this program.
    Invalid {
        /// The site's name.
        site: String,
        /// All violations.
        violations: Vec<Violation>,
    },
    /// The site cannot be serialized as TOML: a bug in this program.
    Serialize(toml::ser::Error),
    /// A file of this name exists with other content.
    Exists(PathBuf),
    /// The file system returned an error.
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The error.
        source: io::Error,
    },
}

impl fmt::Display for WriteError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid { site, violations } => {
                write!(out, "{site} is invalid:")?;
                violations.iter().try_for_each(|violation| write!(out, " {violation};"))
            }
            Self::Serialize(_) => write!(out, "a site could not be serialized as TOML"),
            Self::Exists(path) => {
                write!(out, "{} exists with other content; choose another folder", path.display())
            }
            Self::Io { path, source } => write!(out, "{}: {source}", path.display()),
        }
    }
}

impl std::error::Error for WriteError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Serialize(source) => Some(source),
            Self::Io { .. } | Self::Invalid { .. } | Self::Exists(_) => None,
        }
    }
}

/// Returns a site as TOML.
///
/// # Errors
/// [`WriteError::Invalid`] or [`WriteError::Serialize`], for a site that this program should not have generated.
pub fn to_toml(site: &Site) -> Result<String, WriteError> {
    let violations = validate(site);
    if !violations.is_empty() {
        return Err(WriteError::Invalid { site: site.name.clone(), violations });
    }
    toml::to_string(site).map_err(WriteError::Serialize)
}

/// Writes all sites and copies the companion files beside them; returns the paths of the site files.
///
/// # Errors
/// If a file cannot be written. The files before it have been written.
pub fn write_all(request: &Request, sites: &[Site]) -> Result<Vec<PathBuf>, WriteError> {
    fs::create_dir_all(&request.out).map_err(|source| io_error(&request.out, source))?;
    for name in COMPANION_FILES {
        let from = request.companions.join(name);
        let content = fs::read(&from).map_err(|source| io_error(&from, source))?;
        write_new(&request.out.join(name), &content)?;
    }
    let mut paths = Vec::with_capacity(sites.len());
    for site in sites {
        let path = request.out.join(format!("{}.toml", site.name));
        write_new(&path, to_toml(site)?.as_bytes())?;
        paths.push(path);
    }
    Ok(paths)
}

/// Writes a new file; an existing file with the same content is accepted.
fn write_new(path: &Path, content: &[u8]) -> Result<(), WriteError> {
    match fs::read(path) {
        Ok(found) if found == content => Ok(()),
        Ok(_) => Err(WriteError::Exists(path.to_path_buf())),
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            fs::write(path, content).map_err(|source| io_error(path, source))
        }
        Err(source) => Err(io_error(path, source)),
    }
}

fn io_error(path: &Path, source: io::Error) -> WriteError {
    WriteError::Io { path: path.to_path_buf(), source }
}
