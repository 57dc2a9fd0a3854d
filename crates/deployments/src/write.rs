//! Sites as TOML, files in a folder. A file that is there with other content is never overwritten.

use crate::cli::{Request, COMPANION_FILES};
use crate::model::Site;
use crate::validate::{validate, Violation};
use std::path::{Path, PathBuf};
use std::{fmt, fs, io};

/// Why a site could not be written.
#[derive(Debug)]
#[non_exhaustive]
pub enum WriteError {
    /// The site makes no sense: a mistake of this program.
    Invalid {
        /// The site's name.
        site: String,
        /// All that is wrong with it.
        violations: Vec<Violation>,
    },
    /// The site has no form in TOML: a mistake of this program.
    Serialize(toml::ser::Error),
    /// A file of this name is there, with other content.
    Exists(PathBuf),
    /// The file system refused.
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What it said.
        source: io::Error,
    },
}

impl fmt::Display for WriteError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid { site, violations } => {
                write!(out, "{site} makes no sense:")?;
                violations.iter().try_for_each(|violation| write!(out, " {violation};"))
            }
            Self::Serialize(_) => write!(out, "a site could not be put in TOML"),
            Self::Exists(path) => {
                write!(out, "{} is there with other content; choose another folder", path.display())
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

/// A site as TOML.
///
/// # Errors
/// [`WriteError::Invalid`] or [`WriteError::Serialize`], for a site that this program should not have made.
pub fn to_toml(site: &Site) -> Result<String, WriteError> {
    let violations = validate(site);
    if !violations.is_empty() {
        return Err(WriteError::Invalid { site: site.name.clone(), violations });
    }
    toml::to_string(site).map_err(WriteError::Serialize)
}

/// Writes all sites and copies the companion files beside them; gives the paths of the site files.
///
/// # Errors
/// At the first file that cannot be written. Those before it have been.
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

/// Writes a file that is not there yet; one of the same content may be.
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
