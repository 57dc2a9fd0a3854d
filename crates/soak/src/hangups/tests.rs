use super::memory_map::MemoryMap;
use super::thread_status::{ThreadState, ThreadStatus};
use nix::sys::signal::Signal;
use std::path::Path;

/// Signal masks.
const NONE: u64 = 0;
const HANGUP: u64 = 1;
const TERMINATION: u64 = 1 << 14;
const KILL: u64 = 1 << 8;
/// Thread flags.
const USUAL_FLAGS: u64 = 0x40_0000;
const EXITING_FLAGS: u64 = 0x40_0004;

/// Fields of a thread's `status`.
struct Status {
    state: &'static str,
    /// Pending for the thread, and for its process.
    pending: [u64; 2],
    blocked: u64,
    ignored: u64,
    handled: u64,
}

impl Status {
    fn of(state: &'static str) -> Status {
        Status { state, pending: [NONE; 2], blocked: NONE, ignored: NONE, handled: NONE }
    }

    fn text(&self) -> String {
        let Status { state, pending: [own, shared], blocked, ignored, handled } = self;
        format!(
            "Name:\tshaletide\nState:\t{state}\nSigPnd:\t{own:016x}\nShdPnd:\t{shared:016x}\n\
             SigBlk:\t{blocked:016x}\nSigIgn:\t{ignored:016x}\nSigCgt:\t{handled:016x}\n"
        )
    }

    fn parse(&self, flags: u64) -> ThreadStatus {
        ThreadStatus::parse(&self.text(), &stat_text(flags)).unwrap()
    }
}

/// Returns a thread's `stat` with these flags, and with a name that looks like fields.
fn stat_text(flags: u64) -> String {
    format!("7 (a) R 1 2 3) R 1 7 7 0 -1 {flags} 10 0\n")
}

/// Guards against a process that a signal has ended but that counts as running until the kernel schedules its exit.
#[test]
fn thread_is_ending_once_it_is_killed_or_hung_up_or_exits() {
    let running = || Status::of("R (running)");
    let hung_up = || Status { pending: [NONE, HANGUP], ..running() };
    let terminated = || Status { pending: [NONE, TERMINATION], ..running() };
    let cases = [
        (running(), USUAL_FLAGS, ThreadState::Running),
        (Status { pending: [NONE, TERMINATION], ..running() }, USUAL_FLAGS, ThreadState::Ending),
        (Status { blocked: TERMINATION, ..terminated() }, USUAL_FLAGS, ThreadState::Running),
        (Status { blocked: HANGUP, ..terminated() }, USUAL_FLAGS, ThreadState::Ending),
        (Status { ignored: TERMINATION, ..terminated() }, USUAL_FLAGS, ThreadState::Running),
        (Status { handled: TERMINATION, ..terminated() }, USUAL_FLAGS, ThreadState::Running),
        (running(), EXITING_FLAGS, ThreadState::Ending),
        (Status { pending: [KILL, NONE], ..running() }, USUAL_FLAGS, ThreadState::Ending),
        (hung_up(), USUAL_FLAGS, ThreadState::Ending),
        (Status { blocked: HANGUP, ..hung_up() }, USUAL_FLAGS, ThreadState::Running),
        (Status { ignored: HANGUP, ..hung_up() }, USUAL_FLAGS, ThreadState::Running),
        (Status { handled: HANGUP, ..hung_up() }, USUAL_FLAGS, ThreadState::Running),
        (Status { state: "T (stopped)", ..hung_up() }, USUAL_FLAGS, ThreadState::Stopped),
        (Status::of("D (disk sleep)"), USUAL_FLAGS, ThreadState::Running),
        (Status::of("D (disk sleep)"), EXITING_FLAGS, ThreadState::Ending),
        (Status::of("t (tracing stop)"), USUAL_FLAGS, ThreadState::Stopped),
        (Status::of("Z (zombie)"), EXITING_FLAGS, ThreadState::Ended),
    ];
    for (status, flags, state) in cases {
        assert_eq!(status.parse(flags).state, state, "{} {flags:x}", status.text());
    }
}

/// Guards against treating a signal as fatal although the process ignores or handles it.
#[test]
fn hangup_is_fatal_only_if_neither_ignored_nor_handled() {
    let stopped = || Status::of("T (stopped)");
    let is_fatal = |status: Status| status.parse(USUAL_FLAGS).is_fatal(Signal::SIGHUP);
    assert!(is_fatal(stopped()));
    assert!(is_fatal(Status { ignored: KILL, handled: KILL, ..stopped() }), "other signals");
    assert!(!is_fatal(Status { ignored: HANGUP, ..stopped() }));
    assert!(!is_fatal(Status { handled: HANGUP, ..stopped() }));
    let is_termination_fatal = |status: Status| status.parse(USUAL_FLAGS).is_fatal(Signal::SIGTERM);
    assert!(is_termination_fatal(Status { ignored: HANGUP, handled: HANGUP, ..stopped() }));
    assert!(!is_termination_fatal(Status { ignored: TERMINATION, ..stopped() }));
    assert!(!is_termination_fatal(Status { handled: TERMINATION, ..stopped() }));
}

/// Guards against treating a missing field of the status as an empty one.
#[test]
fn status_without_a_field_is_an_error() {
    let whole = Status::of("T (stopped)").text();
    for field in ["State:", "SigPnd:", "ShdPnd:", "SigBlk:", "SigIgn:", "SigCgt:"] {
        let text = whole.replace(field, "Other:");
        assert!(ThreadStatus::parse(&text, &stat_text(USUAL_FLAGS)).is_err(), "{field}");
    }
}

const PROGRAM: &str = "/opt/program";

/// Returns the `smaps` of a process with a program's read-only data and code, and a library's code.
fn smaps_text(code_resident: &str) -> String {
    format!(
        "00200000-00592000 r--p 00000000 fe:00 7                          {PROGRAM}\nSize:  3656 kB\nRss:  64 kB\n\
         00592000-01465000 r-xp 00391000 fe:00 7                          {PROGRAM}\n{code_resident}Pss:  8 kB\n\
         7f0000000000-7f0000100000 r-xp 00000000 fe:00 8                  /lib/libc.so.6\nRss:  12 kB\n\
         7f0000200000-7f0000300000 rw-p 00000000 00:00 0\nRss:  8 kB\n"
    )
}

/// Guards against counting read-only data or another file's code as the program's code, and against treating a missing
/// size as zero.
#[test]
fn process_has_accessed_code_that_is_resident() {
    let has_accessed_code = |resident: &str, file: &str| {
        MemoryMap::parse(&smaps_text(resident)).has_accessed_code_of(Path::new(file))
    };
    assert_eq!(has_accessed_code("Rss:  0 kB\n", PROGRAM), Some(false));
    assert_eq!(has_accessed_code("Rss:  4 kB\n", PROGRAM), Some(true));
    assert_eq!(has_accessed_code("", PROGRAM), None);
    assert_eq!(has_accessed_code("Rss:  0 kB\n", "/opt/other"), None);
}

/// Guards against attributing an address to an adjacent mapping.
#[test]
fn file_is_that_of_the_mapping_with_the_address() {
    let memory = MemoryMap::parse(&smaps_text("Rss:  0 kB\n"));
    assert_eq!(memory.file_at(0x59_2000), Some(Path::new(PROGRAM)));
    assert_eq!(memory.file_at(0x7f00_000f_ffff), Some(Path::new("/lib/libc.so.6")));
    assert_eq!(memory.file_at(0x7f00_0010_0000), None);
    assert_eq!(memory.file_at(0x7f00_0020_0000), None, "no file");
}
