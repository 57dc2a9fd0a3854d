//! System calls, without the C library, and the two operations on memory that the compiler would call the C library for.

use core::arch::asm;
use core::ffi::CStr;

/// Results from here on, taken as unsigned numbers, are errors: the kernel returns `-errno`, which is 4095 at most.
const FIRST_ERROR: usize = -4095_isize as usize;
/// The status of a program that cannot be executed, as shells and the loader have it.
const CANNOT_EXECUTE: usize = 127;

/// A system call has failed.
pub(super) struct CallError;

/// # Safety
/// That of the call.
unsafe fn call(number: libc::c_long, arguments: [usize; 6]) -> Result<usize, CallError> {
    let result: usize;
    // SAFETY: the caller vouches for the call; the kernel changes these three registers alone.
    unsafe {
        asm!(
            "syscall",
            inlateout("rax") number as usize => result,
            in("rdi") arguments[0],
            in("rsi") arguments[1],
            in("rdx") arguments[2],
            in("r10") arguments[3],
            in("r8") arguments[4],
            in("r9") arguments[5],
            lateout("rcx") _,
            lateout("r11") _,
            options(nostack),
        );
    }
    if result >= FIRST_ERROR {
        Err(CallError)
    } else {
        Ok(result)
    }
}

/// An open file; it stays open until [`File::close`].
pub(super) struct File(usize);

impl File {
    /// Opens a file to read it.
    pub(super) fn open(path: &CStr) -> Result<File, CallError> {
        let flags = (libc::O_RDONLY | libc::O_CLOEXEC) as usize;
        // SAFETY: the kernel reads the path, which ends with a zero byte.
        let opened = unsafe { call(libc::SYS_open, [path.as_ptr() as usize, flags, 0, 0, 0, 0]) };
        opened.map(File)
    }

    /// Reads from the beginning of the file, and returns how many bytes it got.
    ///
    /// # Safety
    /// So many bytes may be written at `to`.
    pub(super) unsafe fn read_begin(&self, to: *mut u8, bytes: usize) -> Result<usize, CallError> {
        // SAFETY: as the caller has promised.
        unsafe { call(libc::SYS_pread64, [self.0, to as usize, bytes, 0, 0, 0]) }
    }

    pub(super) fn close(self) {
        // SAFETY: nothing uses the descriptor after this. It is closed even where the call tells of an error.
        let _ = unsafe { call(libc::SYS_close, [self.0, 0, 0, 0, 0, 0]) };
    }
}

/// What is mapped.
pub(super) enum Backing<'a> {
    /// Zeros.
    Zeros,
    /// A file from this offset on, in bytes, a multiple of the page size.
    File(&'a File, usize),
}

/// Maps private memory where the kernel finds room for it, and returns the address.
pub(super) fn reserve(bytes: usize) -> Result<usize, CallError> {
    let flags = libc::MAP_PRIVATE | libc::MAP_ANONYMOUS | libc::MAP_NORESERVE;
    // SAFETY: the kernel takes addresses that are in no use.
    unsafe { map_pages(0, bytes, libc::PROT_NONE, flags, Backing::Zeros) }
}

/// Maps private memory at this address in place of what is there.
///
/// # Safety
/// The range was got from [`reserve`], and nothing uses what is there.
pub(super) unsafe fn map_at(
    address: usize, bytes: usize, protection: i32, backing: Backing,
) -> Result<(), CallError> {
    let anonymous = match backing {
        Backing::Zeros => libc::MAP_ANONYMOUS,
        Backing::File(..) => 0,
    };
    let flags = libc::MAP_PRIVATE | libc::MAP_FIXED | anonymous;
    // SAFETY: as the caller has promised.
    unsafe { map_pages(address, bytes, protection, flags, backing) }.map(drop)
}

/// # Safety
/// That of the call.
unsafe fn map_pages(
    address: usize, bytes: usize, protection: i32, flags: i32, backing: Backing,
) -> Result<usize, CallError> {
    let (descriptor, offset) = match backing {
        Backing::Zeros => (usize::MAX, 0),
        Backing::File(file, offset) => (file.0, offset),
    };
    let arguments = [address, bytes, protection as usize, flags as usize, descriptor, offset];
    // SAFETY: as the caller has promised.
    unsafe { call(libc::SYS_mmap, arguments) }
}

/// Writes a message to standard error and ends the process.
pub(super) fn exit_with(message: &str) -> ! {
    let arguments = [libc::STDERR_FILENO as usize, message.as_ptr() as usize, message.len(), 0, 0, 0];
    loop {
        // SAFETY: the kernel reads the message; the process has one thread, and ends. Nothing can be done where the message
        // cannot be written.
        unsafe {
            let _ = call(libc::SYS_write, arguments);
            let _ = call(libc::SYS_exit_group, [CANNOT_EXECUTE, 0, 0, 0, 0, 0]);
        }
    }
}

/// Copies bytes.
///
/// # Safety
/// So many may be read at `from` and written at `to`, which do not overlap.
pub(super) unsafe fn copy(from: *const u8, to: *mut u8, bytes: usize) {
    // SAFETY: as the caller has promised; the direction flag is clear.
    unsafe {
        asm!(
            "rep movsb",
            inout("rcx") bytes => _,
            inout("rsi") from => _,
            inout("rdi") to => _,
            options(nostack, preserves_flags),
        );
    }
}

/// Sets bytes to zero.
///
/// # Safety
/// So many may be written at `to`.
pub(super) unsafe fn clear(to: *mut u8, bytes: usize) {
    // SAFETY: as the caller has promised; the direction flag is clear.
    unsafe {
        asm!(
            "rep stosb",
            inout("rcx") bytes => _,
            inout("rdi") to => _,
            in("al") 0_u8,
            options(nostack, preserves_flags),
        );
    }
}
