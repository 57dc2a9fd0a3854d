//! Stops a process at an exact point of its start by `ptrace`, which needs no privileges for a child process. x86-64 Linux
//! only: registers and system calls have that architecture's names.

use super::elf;
use nix::sys::ptrace::{self, Options};
use nix::sys::signal::{kill, Signal};
use nix::sys::wait::{waitpid, WaitPidFlag, WaitStatus};
use nix::unistd::Pid;
use std::fs::File;
use std::io;
use std::ops::Range;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::{Duration, Instant};

/// The breakpoint instruction.
const BREAKPOINT: [u8; 1] = [0xcc];
/// The instruction of a system call.
const SYSTEM_CALL: [u8; 2] = [0x0f, 0x05];
/// Maximum number of instructions that are executed one by one.
const MAX_STEPS: usize = 3_000_000;
/// Maximum time for a process to reach any point of its start, also instruction by instruction and on a busy machine.
const TRACE_LIMIT: Duration = Duration::from_secs(60);
/// Number of checks of a running process after which it is checked less often.
const FREQUENT_CHECKS: usize = 1000;
/// Pause between two of these less frequent checks.
const CHECK_INTERVAL: Duration = Duration::from_micros(100);
/// `op` of [`ptrace::syscall_info`] at the entry of a call.
const ENTRY: u8 = libc::PTRACE_SYSCALL_INFO_ENTRY;

/// Why a process could not be brought to a point.
#[derive(Debug)]
pub enum TraceError {
    /// A system call of the tracer failed.
    System(nix::Error),
    /// A file under `/proc` could not be read or written.
    Memory(io::Error),
    /// The process ended before.
    Ended(WaitStatus),
    /// The program has no `.preinit_array`.
    NoPreinitArray,
    /// The process did not reach that point.
    NotReached(&'static str),
    /// The process did not reach that point in time.
    NotInTime,
}

impl std::fmt::Display for TraceError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            TraceError::System(error) => write!(f, "a system call of the tracer failed: {error}"),
            TraceError::Memory(error) => write!(f, "no access to a file under /proc: {error}"),
            TraceError::Ended(status) => write!(f, "the process ended before: {status:?}"),
            TraceError::NoPreinitArray => f.write_str("the program has no .preinit_array"),
            TraceError::NotReached(point) => write!(f, "the process did not come to {point}"),
            TraceError::NotInTime => f.write_str(
                "the process has not come to that point in time: does its start no longer pass it, or is the program an \
                 older build?",
            ),
        }
    }
}

impl From<nix::Error> for TraceError {
    fn from(error: nix::Error) -> TraceError {
        TraceError::System(error)
    }
}

impl From<io::Error> for TraceError {
    fn from(error: io::Error) -> TraceError {
        TraceError::Memory(error)
    }
}

/// A system call of the process.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Its number.
    pub number: i64,
    /// Its first three arguments.
    pub arguments: [u64; 3],
    /// Its result, at its exit.
    pub result: i64,
}

/// The point at which a process is stopped.
#[derive(Clone, Copy, Debug)]
pub enum Stop {
    /// The kernel has replaced the program, and has executed no instruction of the new one.
    Exec,
    /// Before the kernel acts on a call.
    Entry(Call),
    /// After the kernel has acted, before the process continues.
    Exit(Call),
}

/// A child process that this thread traces. It is killed if the thread ends meanwhile.
pub struct Tracee {
    pid: Pid,
    /// Time limit for reaching the last point.
    deadline: Instant,
}

impl Tracee {
    /// Attaches to a child that has sent itself SIGSTOP, and continues it to its next stop.
    pub fn take(pid: u32) -> Result<Tracee, TraceError> {
        let tracee = Tracee { pid: Pid::from_raw(pid as i32), deadline: Instant::now() + TRACE_LIMIT };
        match tracee.wait_for_change(WaitPidFlag::WUNTRACED)? {
            WaitStatus::Stopped(_, Signal::SIGSTOP) => {}
            status => return Err(TraceError::Ended(status)),
        }
        let options = Options::PTRACE_O_TRACESYSGOOD | Options::PTRACE_O_TRACEEXEC;
        ptrace::seize(tracee.pid, options | Options::PTRACE_O_EXITKILL)?;
        kill(tracee.pid, Signal::SIGCONT)?;
        tracee.wait_for_stop()?; // the stop by SIGSTOP, as reported to a tracer
        Ok(tracee)
    }

    /// Sets the time limit, from now on, for all further steps.
    pub fn set_limit(&mut self, limit: Duration) {
        self.deadline = Instant::now() + limit;
    }

    /// Returns its PID.
    pub fn id(&self) -> u32 {
        self.pid.as_raw() as u32 // PIDs are positive
    }

    fn wait_for_stop(&self) -> Result<WaitStatus, TraceError> {
        match self.wait_for_change(WaitPidFlag::__WALL)? {
            status @ (WaitStatus::Exited(..) | WaitStatus::Signaled(..)) => Err(TraceError::Ended(status)),
            status => Ok(status),
        }
    }

    /// Waits until the process has stopped or ended. No system call waits for that with a time limit.
    fn wait_for_change(&self, flags: WaitPidFlag) -> Result<WaitStatus, TraceError> {
        let mut checks = 0;
        while Instant::now() < self.deadline {
            match waitpid(self.pid, Some(flags | WaitPidFlag::WNOHANG))? {
                WaitStatus::StillAlive if checks < FREQUENT_CHECKS => std::thread::yield_now(),
                WaitStatus::StillAlive => std::thread::sleep(CHECK_INTERVAL),
                status => return Ok(status),
            }
            checks += 1;
        }
        Err(TraceError::NotInTime)
    }

    /// Continues to the next entry or exit of a system call of the main thread, or to its next program.
    fn next_stop(&mut self) -> Result<Stop, TraceError> {
        let mut delivered = None;
        loop {
            ptrace::syscall(self.pid, delivered)?;
            delivered = None;
            match self.wait_for_stop()? {
                WaitStatus::PtraceSyscall(_) => return self.call_stop(),
                WaitStatus::PtraceEvent(_, _, libc::PTRACE_EVENT_EXEC) => return Ok(Stop::Exec),
                WaitStatus::Stopped(_, signal) => delivered = Some(signal),
                _ => {}
            }
        }
    }

    fn call_stop(&self) -> Result<Stop, TraceError> {
        let registers = ptrace::getregs(self.pid)?;
        let call = Call {
            number: registers.orig_rax as i64,
            arguments: [registers.rdi, registers.rsi, registers.rdx],
            result: registers.rax as i64,
        };
        let is_entry = ptrace::syscall_info(self.pid)?.op == ENTRY;
        Ok(if is_entry { Stop::Entry(call) } else { Stop::Exit(call) })
    }

    /// Continues until a stop satisfies `wanted`.
    pub fn run_until(&mut self, mut wanted: impl FnMut(&Tracee, Stop) -> bool) -> Result<Stop, TraceError> {
        loop {
            let stop = self.next_stop()?;
            if wanted(self, stop) {
                return Ok(stop);
            }
        }
    }

    /// Executes one instruction. If the process is in a system call, completes that call. Signals that arrive meanwhile
    /// are not delivered.
    pub fn step(&mut self) -> Result<(), TraceError> {
        loop {
            ptrace::step(self.pid, None)?;
            match self.wait_for_stop()? {
                WaitStatus::Stopped(_, signal) if signal != Signal::SIGTRAP => {}
                _ => return Ok(()),
            }
        }
    }

    /// Continues from a point after the loader's relocations to the first instruction of the function in `.preinit_array`.
    pub fn run_to_preinit_function(&mut self, program: &Path) -> Result<(), TraceError> {
        let layout = elf::layout(program)?;
        let array = layout.preinit_array.ok_or(TraceError::NoPreinitArray)?;
        let moved_by = elf::entry_in_memory(self.pid.as_raw())?.wrapping_sub(layout.entry);
        let mut function = [0; 8];
        self.memory()?.read_exact_at(&mut function, array.wrapping_add(moved_by))?;
        self.run_to_address(u64::from_le_bytes(function))
    }

    fn run_to_address(&mut self, address: u64) -> Result<(), TraceError> {
        let memory = self.memory()?;
        let mut replaced = BREAKPOINT;
        memory.read_exact_at(&mut replaced, address)?;
        memory.write_all_at(&BREAKPOINT, address)?;
        ptrace::cont(self.pid, None)?;
        self.wait_for_stop()?;
        memory.write_all_at(&replaced, address)?;
        let mut registers = ptrace::getregs(self.pid)?;
        if registers.rip != address + BREAKPOINT.len() as u64 {
            return Err(TraceError::NotReached("the function in .preinit_array"));
        }
        registers.rip = address;
        Ok(ptrace::setregs(self.pid, registers)?)
    }

    /// Executes single instructions until the next one makes this system call. Returns the number of executed instructions.
    pub fn step_to_call(&mut self, number: i64) -> Result<usize, TraceError> {
        let memory = self.memory()?;
        for steps in 0..MAX_STEPS {
            let registers = ptrace::getregs(self.pid)?;
            let mut next = [0; SYSTEM_CALL.len()];
            memory.read_exact_at(&mut next, registers.rip)?;
            if next == SYSTEM_CALL && registers.rax as i64 == number {
                return Ok(steps);
            }
            self.step()?;
        }
        Err(TraceError::NotReached("a system call, instruction by instruction"))
    }

    /// Executes single instructions until the next one is not in code of this file.
    pub fn step_out_of(&mut self, file: &Path) -> Result<(), TraceError> {
        let code = code_of(self.pid, file)?;
        for _ in 0..MAX_STEPS {
            let address = self.instruction()?;
            if !code.iter().any(|range| range.contains(&address)) {
                return Ok(());
            }
            self.step()?;
        }
        Err(TraceError::NotReached("code of another file"))
    }

    /// Returns the address of the next instruction.
    pub fn instruction(&self) -> Result<u64, TraceError> {
        Ok(ptrace::getregs(self.pid)?.rip)
    }

    /// Opens the memory of the process; valid only for its current program.
    fn memory(&self) -> io::Result<File> {
        File::options().read(true).write(true).open(format!("/proc/{}/mem", self.pid))
    }

    /// Reads a word of its memory.
    pub fn word(&self, address: u64) -> Option<u64> {
        let mut word = [0; 8];
        self.memory().ok()?.read_exact_at(&mut word, address).ok()?;
        Some(u64::from_le_bytes(word))
    }

    /// Returns whether this text, followed by a zero byte, is at the address.
    pub fn has_text(&self, address: u64, text: &[u8]) -> bool {
        let mut found = vec![0; text.len() + 1];
        let read = self.memory().and_then(|memory| memory.read_exact_at(&mut found, address));
        read.is_ok() && found.strip_suffix(&[0]) == Some(text)
    }

    /// Detaches from the process, which continues by itself.
    pub fn release(self) -> Result<(), TraceError> {
        Ok(ptrace::detach(self.pid, None)?)
    }
}

/// Returns the address ranges at which a process has mapped the code of this file.
fn code_of(pid: Pid, file: &Path) -> io::Result<Vec<Range<u64>>> {
    let maps = std::fs::read_to_string(format!("/proc/{pid}/maps"))?;
    let range_of = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (from, to) = fields[0].split_once('-')?;
        let range = u64::from_str_radix(from, 16).ok()?..u64::from_str_radix(to, 16).ok()?;
        let is_code = fields[1].contains('x') && fields.get(5).map(Path::new) == Some(file);
        is_code.then_some(range)
    };
    Ok(maps.lines().filter_map(range_of).collect())
}
