//! The point at which a process is stopped.

use super::first_instruction;
use super::memory_map::MemoryMap;
use std::fmt;
use std::path::{Path, PathBuf};

/// Content of `syscall` for a thread that is still on its processor.
const ON_PROCESSOR: &str = "running";

/// Information from `/proc` on a stopped thread, read once.
pub(super) struct StoppedThread {
    folder: PathBuf,
    /// Content of `syscall`: the system call, the stack pointer and the instruction pointer.
    pub(super) call: Option<String>,
    memory: Option<MemoryMap>,
}

impl StoppedThread {
    pub(super) fn read(folder: PathBuf) -> StoppedThread {
        let call = std::fs::read_to_string(folder.join("syscall")).ok();
        let memory = MemoryMap::read(&folder).ok();
        StoppedThread { call: call.map(|call| call.trim().to_string()), memory, folder }
    }

    /// Returns the address of the next instruction.
    fn instruction(&self) -> Option<u64> {
        let address = self.call.as_deref()?.split_whitespace().last()?;
        u64::from_str_radix(address.strip_prefix("0x")?, 16).ok()
    }

    /// Returns the offset of the next instruction in the file that is mapped there, in bytes.
    pub(super) fn file_offset(&self) -> Option<u64> {
        self.memory.as_ref()?.offset_at(self.instruction()?)
    }
}

/// The point at which a process that does not block a signal is stopped, and the effect of the signal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopPoint {
    /// The file with the next instruction of a thread that does not block the signal; `None` if not known.
    pub file: Option<PathBuf>,
    /// The program that the process executes.
    pub executable: Option<PathBuf>,
    /// Whether it has executed an instruction of that program; `None` if not known.
    pub has_begun: Option<bool>,
    /// Whether the signal ends it: it neither ignores nor handles it.
    pub is_fatal: bool,
}

impl StopPoint {
    /// Inspects a stopped thread that does not block the signal; `None` while it is still on its processor.
    pub(super) fn read(thread: &StoppedThread, is_only_thread: bool, is_fatal: bool) -> Option<StopPoint> {
        let StoppedThread { folder, call, memory } = thread;
        if call.as_deref() == Some(ON_PROCESSOR) {
            return None;
        }
        let executable = std::fs::read_link(folder.join("exe")).ok();
        let instruction = thread.instruction();
        let file = memory.as_ref().zip(instruction);
        let file = file.and_then(|(memory, address)| memory.file_at(address).map(Path::to_path_buf));
        let has_accessed_code = memory.as_ref().zip(executable.as_deref());
        let has_accessed_code =
            has_accessed_code.and_then(|(memory, program)| memory.has_accessed_code_of(program));
        let is_at_first = instruction.is_some() && instruction == first_instruction::of_process(folder);
        let has_begun = match has_accessed_code {
            _ if !is_only_thread => Some(true), // only the program itself starts a second thread
            Some(true) if is_at_first => Some(false), // the page is resident, but its first instruction is still the next one
            has_accessed_code => has_accessed_code,
        };
        Some(StopPoint { file, executable, has_begun, is_fatal })
    }

    /// Returns whether the process executes this program, has not executed any of its instructions, and is ended by the signal.
    pub(super) fn is_before_first_instruction(&self, program: &Path) -> bool {
        self.is_fatal && self.executes(program) && self.has_begun == Some(false) && self.file.is_some()
    }

    /// Returns whether the process has executed an instruction of this program.
    pub(super) fn is_after_first_instruction(&self, program: &Path) -> bool {
        match self.has_begun {
            Some(false) => false,
            Some(true) => self.executes(program) || self.is_in(program),
            None => self.is_in(program),
        }
    }

    fn is_in(&self, file: &Path) -> bool {
        self.file.as_deref() == Some(file)
    }

    fn executes(&self, program: &Path) -> bool {
        self.executable.as_deref() == Some(program)
    }
}

impl fmt::Display for StopPoint {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match &self.file {
            Some(file) => write!(to, "in {}", file.display())?,
            None => to.write_str("in an unknown file")?,
        }
        to.write_str(match self.has_begun {
            Some(false) => ", before its first instruction",
            Some(true) => ", after its first instruction",
            None => ", not known whether before its first instruction",
        })?;
        to.write_str(if self.is_fatal { "" } else { ", not ended by it" })
    }
}
