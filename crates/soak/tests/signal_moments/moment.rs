//! Points of a process's start, in the order in which the process reaches them.

use super::tracer::{Call, Stop, TraceError, Tracee};
use std::os::unix::ffi::OsStrExt;
use std::path::Path;

/// The bit of SIGHUP in a signal set.
const HANGUP_BIT: u64 = 1 << (libc::SIGHUP - 1);

/// A point of the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Moment {
    /// The starter calls the kernel to execute the program.
    ExecCall,
    /// The kernel has replaced the program: before the first instruction of the new one.
    ExecEnd,
    /// After the program's first instruction.
    ProgramBegins,
    /// Before the instruction that calls the kernel to block SIGHUP.
    BeforeMask,
    /// In that system call, before the kernel acts.
    MaskCall,
    /// In that system call, after it.
    Masked,
    /// Before the first instruction of the loader, which the program has mapped.
    LoaderBegins,
    /// The loader's first system call, after it has relocated itself.
    LoaderCall,
    /// After the loader has relocated everything and protected it.
    Relocated,
    /// Before the first instruction of the function in `.preinit_array`.
    PreinitFunction,
    /// The Rust runtime's first system call, before `main`.
    Runtime,
    /// The start of the log's thread.
    LogThread,
    /// After the start of the log's thread.
    LogThreadStarted,
    /// The configuration is opened for the first time.
    ConfigurationOpen,
    /// After the configuration is opened, before it is read.
    ConfigurationOpened,
    /// The creation of the descriptor that signals are read from.
    SignalDescriptor,
    /// After the creation of that descriptor.
    SignalDescriptorMade,
    /// The registration of that descriptor with the event loop.
    Registration,
    /// After that registration.
    Registered,
    /// The event loop's first wait.
    FirstWait,
}

impl Moment {
    /// All moments, in order.
    pub const ALL: [Moment; 20] = [
        Moment::ExecCall,
        Moment::ExecEnd,
        Moment::ProgramBegins,
        Moment::BeforeMask,
        Moment::MaskCall,
        Moment::Masked,
        Moment::LoaderBegins,
        Moment::LoaderCall,
        Moment::Relocated,
        Moment::PreinitFunction,
        Moment::Runtime,
        Moment::LogThread,
        Moment::LogThreadStarted,
        Moment::ConfigurationOpen,
        Moment::ConfigurationOpened,
        Moment::SignalDescriptor,
        Moment::SignalDescriptorMade,
        Moment::Registration,
        Moment::Registered,
        Moment::FirstWait,
    ];

    /// Returns whether SIGHUP at this moment arrives before the program blocks it. At [`Moment::MaskCall`] the tracer keeps
    /// the signal pending while the call blocks it; without a tracer there is no such point: the signal comes before the
    /// call or after.
    pub fn is_before_mask(self) -> bool {
        self < Moment::MaskCall
    }

    /// Runs a process to this moment. `earlier_execs`: number of programs that it executes before the one under test.
    pub fn reach(self, tracee: &mut Tracee, paths: &Paths, earlier_execs: usize) -> Result<(), TraceError> {
        for _ in 0..earlier_execs {
            tracee.run_until(|_, stop| matches!(stop, Stop::Exec))?;
        }
        if self == Moment::ExecCall {
            return tracee.run_until(|_, stop| is_entry(stop, libc::SYS_execve)).map(drop);
        }
        tracee.run_until(|_, stop| matches!(stop, Stop::Exec))?;
        match self {
            Moment::ExecCall | Moment::ExecEnd => Ok(()),
            Moment::ProgramBegins | Moment::BeforeMask => self.reach_before_mask(tracee),
            Moment::MaskCall | Moment::Masked => self.reach_mask(tracee),
            Moment::LoaderBegins | Moment::LoaderCall => self.reach_loader(tracee, paths),
            Moment::Relocated | Moment::PreinitFunction => self.reach_in_preinit(tracee, paths),
            Moment::Runtime => tracee.run_until(|_, stop| is_entry(stop, libc::SYS_poll)).map(drop),
            Moment::LogThread | Moment::LogThreadStarted => self.reach_log_thread(tracee, paths.log_thread),
            Moment::ConfigurationOpen | Moment::ConfigurationOpened => {
                self.reach_configuration(tracee, paths.configuration)
            }
            _ => self.reach_signal_descriptor(tracee),
        }
    }

    fn reach_before_mask(self, tracee: &mut Tracee) -> Result<(), TraceError> {
        reach_first_instruction(tracee)?;
        if self == Moment::BeforeMask {
            return tracee.step_to_call(libc::SYS_rt_sigprocmask).map(drop);
        }
        let first = tracee.instruction()?;
        tracee.step()?;
        match tracee.instruction()? == first {
            true => Err(TraceError::NotReached("the program's second instruction")),
            false => Ok(()),
        }
    }

    /// The program closes the loader's file once it has mapped it, and jumps to it some instructions later.
    fn reach_loader(self, tracee: &mut Tracee, paths: &Paths) -> Result<(), TraceError> {
        tracee.run_until(
            |_, stop| matches!(stop, Stop::Exit(call) if call.number == libc::SYS_close && call.result == 0),
        )?;
        match self {
            Moment::LoaderBegins => tracee.step_out_of(paths.program),
            _ => tracee.run_until(|_, stop| matches!(stop, Stop::Entry(_))).map(drop),
        }
    }

    /// The loader asks for the limit of the stack between its relocations and `.preinit_array`.
    fn reach_in_preinit(self, tracee: &mut Tracee, paths: &Paths) -> Result<(), TraceError> {
        tracee.run_until(|_, stop| is_entry(stop, libc::SYS_prlimit64))?;
        match self {
            Moment::Relocated => Ok(()),
            _ => tracee.run_to_preinit_function(paths.program),
        }
    }

    fn reach_mask(self, tracee: &mut Tracee) -> Result<(), TraceError> {
        tracee.run_until(blocks_hangup)?;
        self.finish_call_after(Moment::MaskCall, tracee, libc::SYS_rt_sigprocmask).map(drop)
    }

    fn reach_log_thread(self, tracee: &mut Tracee, number: usize) -> Result<(), TraceError> {
        for _ in 0..number {
            tracee.run_until(|_, stop| is_entry(stop, libc::SYS_clone3))?;
        }
        self.finish_call_after(Moment::LogThread, tracee, libc::SYS_clone3).map(drop)
    }

    fn reach_configuration(self, tracee: &mut Tracee, path: &Path) -> Result<(), TraceError> {
        let opens = |tracee: &Tracee, stop| match stop {
            Stop::Entry(call) if call.number == libc::SYS_openat => {
                tracee.has_text(call.arguments[1], path.as_os_str().as_bytes())
            }
            _ => false,
        };
        tracee.run_until(opens)?;
        self.finish_call_after(Moment::ConfigurationOpen, tracee, libc::SYS_openat).map(drop)
    }

    fn reach_signal_descriptor(self, tracee: &mut Tracee) -> Result<(), TraceError> {
        tracee.run_until(|_, stop| is_entry(stop, libc::SYS_signalfd4))?;
        let Some(made) = self.finish_call_after(Moment::SignalDescriptor, tracee, libc::SYS_signalfd4)?
        else {
            return Ok(());
        };
        if self == Moment::SignalDescriptorMade {
            return Ok(());
        }
        tracee.run_until(|_, stop| registers(stop, made.result as u64))?;
        self.finish_call_after(Moment::Registration, tracee, libc::SYS_epoll_ctl)?;
        if self == Moment::FirstWait {
            tracee.run_until(|_, stop| is_wait(stop))?;
        }
        Ok(())
    }

    /// Continues from the entry of a call to its exit, unless this moment is the entry.
    fn finish_call_after(
        self, entry: Moment, tracee: &mut Tracee, number: i64,
    ) -> Result<Option<Call>, TraceError> {
        if self == entry {
            return Ok(None);
        }
        match tracee.run_until(|_, stop| matches!(stop, Stop::Exit(call) if call.number == number))? {
            Stop::Exit(call) => Ok(Some(call)),
            _ => Ok(None),
        }
    }
}

/// Runs a process to the stop with this number, from 1, among those before and after its main thread's system calls. Returns
/// whether it has called the kernel to block SIGHUP by then.
pub fn reach_stop(number: usize, tracee: &mut Tracee, earlier_execs: usize) -> Result<bool, TraceError> {
    for _ in 0..=earlier_execs {
        tracee.run_until(|_, stop| matches!(stop, Stop::Exec))?;
    }
    let (mut stops, mut is_masked) = (0, false);
    let last = tracee.run_until(|tracee, stop| {
        stops += 1;
        is_masked |= blocks_hangup(tracee, stop);
        stops == number || is_wait(stop)
    })?;
    match is_wait(last) && stops < number {
        true => Err(TraceError::NotReached("a stop before its event loop waits")),
        false => Ok(is_masked),
    }
}

/// Runs a process from the end of exec to the first instruction that it executes.
pub fn reach_first_instruction(tracee: &mut Tracee) -> Result<(), TraceError> {
    tracee.step() // the rest of the system call
}

/// Runs a process to the loader's last system call before it relocates the libraries.
pub fn reach_relocations(tracee: &mut Tracee, earlier_execs: usize) -> Result<(), TraceError> {
    for _ in 0..=earlier_execs {
        tracee.run_until(|_, stop| matches!(stop, Stop::Exec))?;
    }
    tracee.run_until(|_, stop| is_entry(stop, libc::SYS_rseq)).map(drop)
}

/// Paths and properties of a start that the moments depend on.
pub struct Paths<'a> {
    /// The program.
    pub program: &'a Path,
    /// Its configuration.
    pub configuration: &'a Path,
    /// Number of the log's thread among the threads that the process starts, from 1.
    pub log_thread: usize,
}

fn is_entry(stop: Stop, number: i64) -> bool {
    matches!(stop, Stop::Entry(call) if call.number == number)
}

fn is_wait(stop: Stop) -> bool {
    is_entry(stop, libc::SYS_epoll_wait) || is_entry(stop, libc::SYS_epoll_pwait)
}

fn registers(stop: Stop, descriptor: u64) -> bool {
    let adds =
        |call: Call| call.arguments[1] == libc::EPOLL_CTL_ADD as u64 && call.arguments[2] == descriptor;
    matches!(stop, Stop::Entry(call) if call.number == libc::SYS_epoll_ctl && adds(call))
}

/// Returns whether the stop is the entry of a call that adds SIGHUP to the blocked signals.
fn blocks_hangup(tracee: &Tracee, stop: Stop) -> bool {
    let Stop::Entry(call) = stop else { return false };
    let [how, set, _] = call.arguments;
    let adds = call.number == libc::SYS_rt_sigprocmask && how == libc::SIG_BLOCK as u64;
    adds && tracee.word(set).is_some_and(|signals| signals & HANGUP_BIT != 0)
}
