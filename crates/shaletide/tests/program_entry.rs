//! The program's own entry point, at which the kernel starts it and which passes control to the dynamic loader. However the
//! program is started, it must reach `main` or report why it cannot.
#![cfg(all(target_os = "linux", target_env = "gnu", target_arch = "x86_64", target_pointer_width = "64"))]

use std::ffi::OsStr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_shaletide");
const LOADER: &str = "/lib64/ld-linux-x86-64.so.2";
const VERSION: &str = concat!("shaletide ", env!("CARGO_PKG_VERSION"), "\n");
/// The status of a program that cannot be executed.
const CANNOT_EXECUTE: i32 = 127;
/// The length of one argument, in bytes.
const ARGUMENT_BYTES: usize = 100_000;
/// The number of arguments of this length; together they are over a megabyte.
const ARGUMENTS: usize = 11;
/// Offsets in the header of an ELF file: of the program headers' offset, size and count.
const HEADERS_AT: usize = 0x20;
const HEADER_BYTES_AT: usize = 0x36;
const HEADER_COUNT_AT: usize = 0x38;
/// The offset of the flags in a program header.
const FLAGS_AT: usize = 4;
/// The flag of a segment that may be executed.
const EXECUTABLE: u8 = 1;
/// Types of program headers.
const DYNAMIC: u32 = 2;
const LOADER_REQUEST: u32 = 3;
const STACK: u32 = 0x6474_e551;

/// Returns the offset and the type of each program header of an ELF file.
fn program_headers(file: &[u8]) -> Vec<(usize, u32)> {
    let number = |at: usize, bytes: usize| {
        let mut number = [0; 8];
        number[..bytes].copy_from_slice(&file[at..at + bytes]);
        u64::from_le_bytes(number) as usize
    };
    let (begin, bytes) = (number(HEADERS_AT, 8), number(HEADER_BYTES_AT, 2));
    let offsets = (0..number(HEADER_COUNT_AT, 2)).map(|index| begin + index * bytes);
    offsets.map(|offset| (offset, number(offset, 4) as u32)).collect()
}

/// A changed copy of the program, removed when dropped.
struct Copy(PathBuf);

impl Copy {
    fn new(name: &str, change: impl FnOnce(&mut Vec<u8>)) -> Copy {
        let path = std::env::temp_dir().join(format!("shaletide-entry-{}-{name}", std::process::id()));
        let mut file = std::fs::read(PROGRAM).unwrap();
        change(&mut file);
        std::fs::write(&path, file).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).unwrap();
        Copy(path)
    }

    /// Returns a copy that looks for its loader at another path of the same length.
    fn with_loader(name: &str, loader: &Path) -> Copy {
        let (from, to) = (LOADER.as_bytes(), loader.as_os_str().as_encoded_bytes());
        assert_eq!(from.len(), to.len(), "{}", loader.display());
        Copy::new(name, |file| {
            let offsets_of_path: Vec<usize> = file
                .windows(from.len())
                .enumerate()
                .filter(|(_, text)| *text == from)
                .map(|(at, _)| at)
                .collect();
            assert!(!offsets_of_path.is_empty());
            offsets_of_path.into_iter().for_each(|at| file[at..at + to.len()].copy_from_slice(to));
        })
    }

    /// Returns the output of `--version`. A shell runs the copy and retries, as a file that was just written cannot be executed
    /// while a process that another thread has forked still has it open.
    fn version(&self) -> Output {
        let script = "for pause in 0.01 0.1 1; do \"$0\" --version; status=$?; \
                      [ $status -eq 126 ] || exit $status; sleep $pause; done; exit $status";
        output(Command::new("sh").args(["-c", script]).arg(&self.0))
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn output(command: &mut Command) -> Output {
    command.env_remove("NODE_CONFIG").output().unwrap()
}

fn assert_version(case: &str, output: &Output) {
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success() && text == VERSION, "{case}: {output:?}");
}

/// Runs a shell command, in which `$0` is the program.
fn shell(line: &str) -> Output {
    output(Command::new("sh").args(["-c", line, PROGRAM]))
}

/// Guards against a program that the kernel starts in the loader, where a signal would end it for about a millisecond, and
/// against one that is linked statically.
#[test]
fn program_requests_no_loader_and_is_linked_dynamically() {
    let headers = program_headers(&std::fs::read(PROGRAM).unwrap());
    let has = |wanted: u32| headers.iter().any(|(_, found)| *found == wanted);
    assert!(!has(LOADER_REQUEST));
    assert!(has(DYNAMIC));
}

/// Guards against an entry point that depends on how the program is executed.
#[test]
fn program_starts_however_it_is_executed() {
    let lines = [
        r#"exec "$0" --version"#,
        r#"PATH=$(dirname "$0"):$PATH; exec shaletide --version"#,
        r#"cd "$(dirname "$0")"; exec ./shaletide --version"#,
        r#"exec 9< "$0"; exec /proc/self/fd/9 --version"#,
        r#"exec "$0" --version <&-"#,
        r#"exec "$0" --version <&- 2>&-"#,
        r#"exec env -i "$0" --version"#,
        r#"LD_BIND_NOW=1 exec "$0" --version"#,
        r#"ulimit -s 1024; exec "$0" --version"#,
        r#"ulimit -s unlimited; exec "$0" --version"#,
        r#"ulimit -n 4; exec "$0" --version"#,
        r#"exec setarch -R "$0" --version"#,
        r#"exec strace -f -o /dev/null "$0" --version"#,
    ];
    for line in lines {
        assert_version(line, &shell(line));
    }
}

/// Guards against a second mapping of the loader if a user has executed the loader with the program as its argument.
#[test]
fn program_starts_by_an_explicitly_executed_loader() {
    assert_version("by its loader", &output(Command::new(LOADER).args([PROGRAM, "--version"])));
}

/// Guards against an entry point that looks for the auxiliary vector in the wrong place if the initial stack is large.
#[test]
fn program_starts_with_a_megabyte_of_arguments_and_one_of_environment() {
    let mut command = Command::new(PROGRAM);
    command.arg("--version");
    for index in 0..ARGUMENTS {
        command.arg("a".repeat(ARGUMENT_BYTES)).env(format!("LARGE_{index}"), "e".repeat(ARGUMENT_BYTES / 2));
    }
    assert_version("large", &output(&mut command));
}

/// Guards against an entry point that does not work on an executable stack.
#[test]
fn program_starts_on_an_executable_stack() {
    let copy = Copy::new("stack", |file| {
        let headers = program_headers(file);
        let (offset, _) =
            headers.iter().find(|(_, found)| *found == STACK).expect("the stack's program header");
        file[offset + FLAGS_AT] |= EXECUTABLE;
    });
    assert_version("executable stack", &copy.version());
}

/// Guards against program headers that the loader, or a tool that lists libraries by the loader, cannot use.
#[test]
fn loader_lists_the_libraries_of_the_program() {
    let list = output(Command::new("ldd").arg(PROGRAM));
    let text = String::from_utf8_lossy(&list.stdout);
    assert!(list.status.success() && text.contains("libc.so.6 => /") && text.contains(LOADER), "{list:?}");
    let traced = output(Command::new(PROGRAM).env("LD_TRACE_LOADED_OBJECTS", "1"));
    assert!(String::from_utf8_lossy(&traced.stdout).contains("libc.so.6 => /"), "{traced:?}");
}

fn assert_cannot_start(output: &Output, reason: &str) {
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(CANNOT_EXECUTE), "{output:?}");
    assert!(text.starts_with("shaletide: cannot start: ") && text.ends_with(reason), "{text}");
}

/// Guards against a crash without a message if there is no loader.
#[test]
fn missing_loader_is_reported() {
    let copy = Copy::with_loader("missing", Path::new("/lib64/ld-absnt-x86-64.so.2"));
    assert_cannot_start(&copy.version(), "cannot be read\n");
}

/// Guards against a jump into a file that is not a loader.
#[test]
fn file_that_is_not_a_loader_is_reported() {
    let name = format!("entry-{:010}", std::process::id());
    let folder = Path::new("/tmp/");
    let mut file = folder.join(OsStr::new(&name)).into_os_string();
    while file.len() < LOADER.len() {
        file.push("x");
    }
    let file = PathBuf::from(file);
    std::fs::write(&file, "no loader".repeat(1000)).unwrap();
    let version_output = Copy::with_loader("none", &file).version();
    std::fs::remove_file(&file).unwrap();
    assert_cannot_start(&version_output, "is not a dynamic loader for x86-64\n");
}
