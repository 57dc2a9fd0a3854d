//! Samples as lines of JSON.

use super::{Sample, MAX_LINE, MAX_SAMPLES};
use std::fmt;
use std::io::{self, BufRead, Read, Write};

/// Why samples could not be read or written.
#[derive(Debug)]
#[non_exhaustive]
pub enum SamplesError {
    /// The file or stream failed.
    Io(io::Error),
    /// A line is longer than [`MAX_LINE`].
    TooLong {
        /// Its number, from 1.
        line: usize,
    },
    /// There are more than [`MAX_SAMPLES`].
    TooMany,
    /// A line is no sample.
    Malformed {
        /// Its number, from 1.
        line: usize,
        /// Why not.
        cause: serde_json::Error,
    },
    /// A sample cannot be written as JSON.
    Unwritable(serde_json::Error),
}

impl fmt::Display for SamplesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SamplesError::Io(_) => write!(f, "samples could not be read or written"),
            SamplesError::TooLong { line } => write!(f, "line {line} has more than {MAX_LINE} bytes"),
            SamplesError::TooMany => write!(f, "more than {MAX_SAMPLES} samples"),
            SamplesError::Malformed { line, .. } => write!(f, "line {line} is no sample"),
            SamplesError::Unwritable(_) => write!(f, "a sample cannot be written"),
        }
    }
}

impl std::error::Error for SamplesError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SamplesError::Io(cause) => Some(cause),
            SamplesError::Malformed { cause, .. } | SamplesError::Unwritable(cause) => Some(cause),
            SamplesError::TooLong { .. } | SamplesError::TooMany => None,
        }
    }
}

impl From<io::Error> for SamplesError {
    fn from(cause: io::Error) -> SamplesError {
        SamplesError::Io(cause)
    }
}

/// Reads samples, one a line; empty lines are passed over.
///
/// # Errors
/// The first line that is too long, one too many or no sample; nothing is returned of those before it.
pub fn read(mut from: impl BufRead) -> Result<Vec<Sample>, SamplesError> {
    let (mut samples, mut line, mut number) = (Vec::new(), Vec::new(), 0);
    loop {
        line.clear();
        number += 1;
        if (&mut from).take(MAX_LINE as u64 + 2).read_until(b'\n', &mut line)? == 0 {
            return Ok(samples);
        }
        let text = line.strip_suffix(b"\n").unwrap_or(&line);
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        if text.len() > MAX_LINE {
            return Err(SamplesError::TooLong { line: number });
        }
        if text.is_empty() {
            continue;
        }
        if samples.len() == MAX_SAMPLES {
            return Err(SamplesError::TooMany);
        }
        let sample = serde_json::from_slice(text);
        samples.push(sample.map_err(|cause| SamplesError::Malformed { line: number, cause })?);
    }
}

/// Writes samples, one a line.
///
/// # Errors
/// The stream failed, or a sample would take more than [`MAX_LINE`] bytes; the lines before it are written.
pub fn write(mut to: impl Write, samples: &[Sample]) -> Result<(), SamplesError> {
    if samples.len() > MAX_SAMPLES {
        return Err(SamplesError::TooMany);
    }
    for (place, sample) in samples.iter().enumerate() {
        let mut line = serde_json::to_vec(sample).map_err(SamplesError::Unwritable)?;
        if line.len() > MAX_LINE {
            return Err(SamplesError::TooLong { line: place + 1 });
        }
        line.push(b'\n');
        to.write_all(&line)?;
    }
    Ok(to.flush()?)
}
