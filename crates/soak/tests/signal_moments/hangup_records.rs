//! Checks the records of a SIGHUP to a process at an exact point of its start, and the conclusions from them.

use super::compiled::Compiled;
use super::moment::{self, Moment, Paths};
use super::tracer::{TraceError, Tracee};
use super::trial::{Inherited, Testbed};
use nix::sys::signal::Signal;
use shaletide_soak::hangups::{
    blocks_hangup, moment_of_end, send_recorded, Pause, SignalFinding, SignalMoment,
};
use shaletide_testkit::Clock;
use std::collections::BTreeMap;
use std::ops::Range;
use std::path::{Path, PathBuf};

/// Interval, in instructions of the loader, at which the long form checks SIGHUP.
const LOADER_INTERVAL: usize = 100;
/// Prefixes of the file names of the loader and of the C library.
const LOADER: &str = "ld-";
const C_LIBRARY: &str = "libc.";
/// Maximum size of a function that makes one system call, in bytes.
const SMALL_FUNCTION: u64 = 256;
/// Maximum number of instructions of a start from exec to the mask.
const MAX_INSTRUCTIONS: usize = 3_000_000;

/// Returns the finding of a SIGHUP now. The tracer does not deliver the signal to the process.
fn hang_up(tracee: &Tracee, program: &Path) -> (SignalFinding, SignalMoment) {
    find_by(Signal::SIGHUP, Pause::Stopped, tracee, program)
}

/// Returns the finding of a SIGTERM now. The tracer stops only the main thread, and the log's thread may run.
fn terminate(tracee: &Tracee, program: &Path) -> (SignalFinding, SignalMoment) {
    find_by(Signal::SIGTERM, Pause::Running, tracee, program)
}

fn find_by(signal: Signal, pause: Pause, tracee: &Tracee, program: &Path) -> (SignalFinding, SignalMoment) {
    let record = send_recorded(signal, tracee.id(), pause, Clock::start());
    let finding = record.finding.clone();
    (finding, moment_of_end(&[record], program))
}

/// Returns the expected result for a SIGHUP at this moment.
fn expected(moment: Moment) -> SignalMoment {
    match moment {
        Moment::ExecCall => SignalMoment::NotShown, // of another program
        Moment::ExecEnd => SignalMoment::BeforeFirstInstruction,
        _ => SignalMoment::AfterFirstInstruction,
    }
}

/// Guards against an end before the program's first instruction that the records do not show, and against an end after it
/// that they show as before it.
#[test]
fn record_of_hangup_shows_at_each_moment_whether_program_has_begun() {
    let testbed = Testbed::new();
    for inherited in [Inherited::Nothing, Inherited::Shim, Inherited::BoundAtStart] {
        for moment in Moment::ALL {
            let inspect_record = |tracee: &mut Tracee, paths: &Paths, earlier_execs| {
                moment.reach(tracee, paths, earlier_execs)?;
                Ok(hang_up(tracee, paths.program))
            };
            let (finding, shown) = testbed.inspect(inherited, inspect_record).unwrap();
            println!("{inherited:?} | {moment:?} | {finding:?} | {shown:?}");
            assert_eq!(shown, expected(moment), "{inherited:?}, {moment:?}: {finding:?}");
        }
    }
}

/// The same for SIGTERM, which the program does not block throughout its start.
#[test]
fn record_of_termination_shows_at_each_moment_whether_program_has_begun() {
    let testbed = Testbed::new();
    for moment in Moment::ALL {
        let inspect_record = |tracee: &mut Tracee, paths: &Paths, earlier_execs| {
            moment.reach(tracee, paths, earlier_execs)?;
            Ok(terminate(tracee, paths.program))
        };
        let (finding, shown) = testbed.inspect(Inherited::Shim, inspect_record).unwrap();
        println!("{moment:?} | {finding:?} | {shown:?}");
        assert_eq!(shown, expected(moment), "{moment:?}: {finding:?}");
    }
}

fn is_file(file: &Path, name_begin: &str) -> bool {
    file.file_name().is_some_and(|name| name.to_string_lossy().starts_with(name_begin))
}

/// The mapped code of a process.
#[derive(Default)]
struct MappedCode(Vec<(Range<u64>, PathBuf)>);

impl MappedCode {
    fn read(pid: u32) -> MappedCode {
        let maps = std::fs::read_to_string(format!("/proc/{pid}/maps")).expect("its mappings");
        MappedCode(maps.lines().filter_map(MappedCode::parse).collect())
    }

    fn parse(line: &str) -> Option<(Range<u64>, PathBuf)> {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (from, to) = fields[0].split_once('-')?;
        let range = u64::from_str_radix(from, 16).ok()?..u64::from_str_radix(to, 16).ok()?;
        let file = fields.get(5)?;
        fields[1].contains('x').then(|| (range, PathBuf::from(file)))
    }

    fn file(&self, address: u64) -> Option<PathBuf> {
        let (_, file) = self.0.iter().find(|(range, _)| range.contains(&address))?;
        Some(file.clone())
    }
}

/// Counts instructions of one file in one part of a start.
#[derive(Default)]
struct Tally {
    executed: usize,
    /// Number of instructions at which SIGHUP was checked.
    found: usize,
}

/// Executes a start instruction by instruction. Checks at the wanted instructions that the record of a SIGHUP shows whether
/// the program has begun.
struct Walk<'a> {
    tracee: &'a mut Tracee,
    program: &'a Path,
    code: MappedCode,
    has_begun: bool,
    /// By whether the program has begun, and by file.
    tallies: BTreeMap<(bool, PathBuf), Tally>,
}

impl<'a> Walk<'a> {
    fn new(tracee: &'a mut Tracee, program: &'a Path) -> Walk<'a> {
        Walk { tracee, program, code: MappedCode::default(), has_begun: false, tallies: BTreeMap::new() }
    }

    /// Returns the file of the next instruction.
    fn file(&mut self) -> Result<PathBuf, TraceError> {
        let address = self.tracee.instruction()?;
        if self.code.file(address).is_none() {
            self.code = MappedCode::read(self.tracee.id());
        }
        self.code.file(address).ok_or(TraceError::NotReached("code of a file"))
    }

    /// Executes the next instruction. Checks SIGHUP before it if `is_wanted` returns true.
    fn step(&mut self, is_wanted: impl Fn(&Path, usize) -> bool) -> Result<(), TraceError> {
        let file = self.file()?;
        let tally = self.tallies.entry((self.has_begun, file.clone())).or_default();
        tally.executed += 1;
        if is_wanted(&file, tally.executed) {
            tally.found += 1;
            self.check();
        }
        self.has_begun |= file == self.program;
        self.tracee.step()
    }

    fn check(&self) {
        let (finding, shown) = hang_up(self.tracee, self.program);
        let required = match self.has_begun {
            true => SignalMoment::AfterFirstInstruction,
            false => SignalMoment::BeforeFirstInstruction,
        };
        assert_eq!(shown, required, "{finding:?}");
    }

    /// Continues until the program blocks SIGHUP.
    fn run_to_mask(&mut self, is_wanted: impl Fn(&Path, usize) -> bool) -> Result<(), TraceError> {
        for _ in 0..MAX_INSTRUCTIONS {
            if self.has_begun && blocks_hangup(self.tracee.id()) == Some(true) {
                return Ok(());
            }
            self.step(&is_wanted)?;
        }
        Err(TraceError::NotReached("the mask, instruction by instruction"))
    }

    /// Continues to the first instruction outside the loader, and returns its file.
    fn run_out_of_loader(&mut self) -> Result<PathBuf, TraceError> {
        for _ in 0..MAX_INSTRUCTIONS {
            let file = self.file()?;
            if !is_file(&file, LOADER) {
                return Ok(file);
            }
            self.step(|_, _| false)?;
        }
        Err(TraceError::NotReached("code outside of the loader"))
    }

    /// Returns the number of instructions of a file at which SIGHUP was checked after the program's first instruction.
    fn found_after_begin(&self, name_begin: &str) -> usize {
        let is_counted = |(has_begun, file): &(bool, PathBuf)| *has_begun && is_file(file, name_begin);
        self.tallies.iter().filter(|(key, _)| is_counted(key)).map(|(_, tally)| tally.found).sum()
    }

    fn print(&self, title: &str) {
        for ((has_begun, file), Tally { executed, found }) in &self.tallies {
            let part = if *has_begun { "begun" } else { "not begun" };
            println!("{title} | {part} | {} | {executed} | {found}", file.display());
        }
    }
}

/// Guards against an end before the program's first instruction that the records do not show. A loader started by the
/// kernel calls functions of the C library that select others by the processor type.
#[test]
fn record_of_hangup_in_resolver_of_c_library_shows_that_program_has_not_begun() {
    let control = Compiled::of("control_program.c", &[]);
    for inherited in [Inherited::Nothing, Inherited::Shim] {
        let inspect_record = |tracee: &mut Tracee, paths: &Paths, earlier_execs| {
            moment::reach_relocations(tracee, earlier_execs)?;
            let mut walk = Walk::new(tracee, paths.program);
            let file = walk.run_out_of_loader()?;
            assert!(is_file(&file, C_LIBRARY), "{}", file.display());
            while !is_file(&walk.file()?, LOADER) {
                walk.step(|_, _| true)?;
            }
            walk.print(&format!("{inherited:?}, resolver"));
            Ok(())
        };
        Testbed::of_program(control.path()).inspect(inherited, inspect_record).unwrap();
    }
}

/// Executes a program from its first instruction, to which `reach_first` runs it, to the mask, and checks SIGHUP at each one.
/// Returns how many of them, without the first, are code of a file with this name.
fn found_from_first_instruction_to_mask(
    testbed: &Testbed, name_begin: &str,
    reach_first: impl FnOnce(&mut Tracee, &Paths, usize) -> Result<(), TraceError>,
) -> usize {
    let inspect_record = |tracee: &mut Tracee, paths: &Paths, earlier_execs| {
        reach_first(tracee, paths, earlier_execs)?;
        let mut walk = Walk::new(tracee, paths.program);
        walk.run_to_mask(|_, _| true)?;
        walk.print("first instruction to mask");
        Ok(walk.found_after_begin(name_begin))
    };
    testbed.inspect(Inherited::Nothing, inspect_record).unwrap()
}

/// Runs a program that the kernel starts to its first instruction.
fn reach_entry(tracee: &mut Tracee, paths: &Paths, earlier_execs: usize) -> Result<(), TraceError> {
    Moment::ExecEnd.reach(tracee, paths, earlier_execs)?;
    moment::reach_first_instruction(tracee)
}

/// Runs a program that the loader starts to its first instruction.
fn reach_preinit_function(
    tracee: &mut Tracee, paths: &Paths, earlier_execs: usize,
) -> Result<(), TraceError> {
    Moment::PreinitFunction.reach(tracee, paths, earlier_execs)
}

/// Guards against a start in which SIGHUP has more time before the mask: the work of the loader, or code on other pages than
/// the first instruction, each of which may have to be read from disk first.
#[test]
fn program_executes_one_small_function_before_the_mask() {
    let inspect_record = |tracee: &mut Tracee, paths: &Paths, earlier_execs| {
        reach_entry(tracee, paths, earlier_execs)?;
        let first = tracee.instruction()?;
        let function = first..first + SMALL_FUNCTION;
        let mut executed = 0;
        while blocks_hangup(tracee.id()) == Some(false) {
            let address = tracee.instruction()?;
            assert!(function.contains(&address), "{address:#x} is executed, {first:#x} the first");
            executed += 1;
            tracee.step()?;
        }
        println!("{executed} instructions from exec to the mask");
        Ok(())
    };
    Testbed::new().inspect(Inherited::Nothing, inspect_record).unwrap();
}

/// Guards against an end between the program's first instruction and the mask that the records do not show.
#[test]
fn record_of_hangup_before_mask_shows_that_program_has_begun() {
    let testbed = Testbed::new();
    let name = testbed.program().file_name().unwrap().to_string_lossy().into_owned();
    assert!(found_from_first_instruction_to_mask(&testbed, &name, reach_entry) > 0);
}

/// The same in code of the C library, in the call that sets the mask.
#[test]
fn record_of_hangup_in_call_of_mask_shows_that_program_has_begun() {
    let control = Compiled::of("control_program.c", &["-Wl,-z,now"]);
    let testbed = Testbed::of_program(control.path());
    assert!(found_from_first_instruction_to_mask(&testbed, C_LIBRARY, reach_preinit_function) > 0);
}

/// Guards against attributing an end to the loader although the program had begun: with lazy binding the program calls the
/// loader at the first call of a function.
#[test]
fn record_of_hangup_in_loader_shows_that_program_has_begun_which_called_it() {
    let control = Compiled::of("control_program.c", &["-fplt", "-Wl,-z,lazy"]);
    let testbed = Testbed::of_program(control.path());
    assert!(found_from_first_instruction_to_mask(&testbed, LOADER, reach_preinit_function) > 0);
}

/// The long form: from exec to the mask of a program that the loader starts. Guards against an instruction of a library, called
/// by the loader or by the program, at which the records show another moment than the one at which the signal comes.
#[test]
#[ignore = "executes half a million instructions one by one: half a minute"]
fn record_of_hangup_shows_at_each_instruction_whether_program_has_begun() {
    let control = Compiled::of("control_program.c", &[]);
    let is_wanted = |file: &Path, number: usize| !is_file(file, LOADER) || number % LOADER_INTERVAL == 1;
    for inherited in [Inherited::Nothing, Inherited::Shim] {
        let inspect_record = |tracee: &mut Tracee, paths: &Paths, earlier_execs| {
            reach_entry(tracee, paths, earlier_execs)?;
            let mut walk = Walk::new(tracee, paths.program);
            walk.run_to_mask(is_wanted)?;
            walk.print(&format!("{inherited:?}"));
            Ok(())
        };
        Testbed::of_program(control.path()).inspect(inherited, inspect_record).unwrap();
    }
}
