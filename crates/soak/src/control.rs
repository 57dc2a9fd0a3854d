//! The shared file that controls the system call faults of a running process.

use crate::call_faults::*;
use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Controls the faults of one process, or of several processes that share the file.
#[derive(Debug)]
pub struct FaultControl {
    file: File,
    path: PathBuf,
}

impl FaultControl {
    /// Creates the file with all rates 0.
    ///
    /// # Errors
    /// A system call fails.
    pub fn create(path: &Path) -> io::Result<FaultControl> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(CONTROL_BYTES as u64)?;
        Ok(FaultControl { file, path: path.into() })
    }

    /// Sets a command's environment so that its process runs with the shim and this file. Files in `folder` are subject to
    /// disk faults.
    pub fn preload(&self, command: &mut Command, shim: &Path, seed: u64, folder: Option<&Path>) {
        command.envs(self.environment(shim, seed, folder));
    }

    /// Returns the environment variables that [`FaultControl::preload`] sets.
    pub fn environment(
        &self, shim: &Path, seed: u64, folder: Option<&Path>,
    ) -> Vec<(&'static str, OsString)> {
        let mut variables = vec![
            ("LD_PRELOAD", shim.into()),
            (CONTROL_VARIABLE, self.path.clone().into()),
            (SEED_VARIABLE, seed.to_string().into()),
        ];
        variables.extend(folder.map(|folder| (FOLDER_VARIABLE, folder.into())));
        variables
    }

    /// Sets the probability, 0 to 1, that a call fails.
    ///
    /// # Errors
    /// The write fails.
    pub fn set(&self, fault: CallFault, chance: f64) -> io::Result<()> {
        let parts = (chance.clamp(0.0, 1.0) * f64::from(RATE_ONE)) as u32;
        self.file.write_all_at(&parts.to_le_bytes(), fault.rate_offset() as u64)
    }

    /// Sets the rates of all system call faults to 0. The offset of the wall clock stays.
    ///
    /// # Errors
    /// The write fails.
    pub fn clear(&self) -> io::Result<()> {
        CallFault::ALL.into_iter().try_for_each(|fault| self.set(fault, 0.0))
    }

    /// Returns the number of calls that this fault has made fail so far.
    ///
    /// # Errors
    /// The read fails.
    pub fn count(&self, fault: CallFault) -> io::Result<u32> {
        let mut bytes = [0; 4];
        self.file.read_exact_at(&mut bytes, fault.count_offset() as u64)?;
        Ok(u32::from_le_bytes(bytes))
    }

    /// Sets the offset of the process's wall clock from the true time, in seconds.
    ///
    /// # Errors
    /// The write fails.
    pub fn step_wall_clock(&self, seconds: i64) -> io::Result<()> {
        self.file.write_all_at(&(seconds * 1000).to_le_bytes(), WALL_OFFSET_AT as u64)
    }
}

impl Drop for FaultControl {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path); // the run removes the temporary folder
    }
}
