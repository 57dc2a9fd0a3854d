//! System calls without the C library, and the two memory operations for which the compiler would call the C library.

use core::arch::asm;
use core::ffi::CStr;

/// The least result, as an unsigned number, that is an error: the kernel returns `-errno`, and errno is at most 4095.
const FIRST_ERROR: usize = -4095_isize as usize;
/// The exit status of a program that cannot be executed, as used by shells and the loader.
const CANNOT_EXECUTE: usize = 127;

/// The failure of a system call.
pub(super) struct CallError;

/// Makes a system call.
///
/// # Safety
/// The requirements of the system call.
unsafe fn call(number: libc::c_long, arguments: [usize; 6]) -> Result<usize, CallError> {
    let result: usize;
    // SAFETY: the caller guarantees that the call is sound; the kernel changes only these three registers.
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

/// An open file. It stays open until [`File::close`].
pub(super) struct File(usize);

impl File {
    /// Opens a file for reading.
    pub(super) fn open(path: &CStr) -> Result<File, CallError> {
        let flags = (libc::O_RDONLY | libc::O_CLOEXEC) as usize;
        // SAFETY: the kernel reads the path, which ends with a zero byte.
        let opened = unsafe { call(libc::SYS_open, [path.as_ptr() as usize, flags, 0, 0, 0, 0]) };
        opened.map(File)
    }

    /// Reads from the beginning of the file, and returns the number of bytes read.
    ///
    /// # Safety
    /// `bytes` bytes may be written at `to`.
    pub(super) unsafe fn read_begin(&self, to: *mut u8, bytes: usize) -> Result<usize, CallError> {
        // SAFETY: the caller guarantees it.
        unsafe { call(libc::SYS_pread64, [self.0, to as usize, bytes, 0, 0, 0]) }
    }

    pub(super) fn close(self) {
        // SAFETY: nothing uses the descriptor after this. It is closed even if the call returns an error.
        let _ = unsafe { call(libc::SYS_close, [self.0, 0, 0, 0, 0, 0]) };
    }
}

/// The contents of a mapping.
pub(super) enum Backing<'a> {
    /// Zero bytes.
    Zeros,
    /// A file from this offset on, in bytes. The offset is a multiple of the page size.
    File(&'a File, usize),
}

/// Reserves private memory at an address chosen by the kernel, and returns the address.
pub(super) fn reserve(bytes: usize) -> Result<usize, CallError> {
    let flags = libc::MAP_PRIVATE | libc::MAP_ANONYMOUS | libc::MAP_NORESERVE;
    // SAFETY: the kernel chooses addresses that are not in use.
    unsafe { map_pages(0, bytes, libc::PROT_NONE, flags, Backing::Zeros) }
}

/// Maps private memory at this address, replacing the previous mapping.
///
/// # Safety
/// The range is part of the result of [`reserve`], and nothing uses its contents.
pub(super) unsafe fn map_at(
    address: usize, bytes: usize, protection: i32, backing: Backing,
) -> Result<(), CallError> {
    let anonymous = match backing {
        Backing::Zeros => libc::MAP_ANONYMOUS,
        Backing::File(..) => 0,
    };
    let flags = libc::MAP_PRIVATE | libc::MAP_FIXED | anonymous;
    // SAFETY: the caller guarantees it.
    unsafe { map_pages(address, bytes, protection, flags, backing) }.map(drop)
}

/// Calls `mmap`.
///
/// # Safety
/// The requirements of `mmap`.
unsafe fn map_pages(
    address: usize, bytes: usize, protection: i32, flags: i32, backing: Backing,
) -> Result<usize, CallError> {
    let (descriptor, offset) = match backing {
        Backing::Zeros => (usize::MAX, 0),
        Backing::File(file, offset) => (file.0, offset),
    };
    let arguments = [address, bytes, protection as usize, flags as usize, descriptor, offset];
    // SAFETY: the caller guarantees it.
    unsafe { call(libc::SYS_mmap, arguments) }
}

/// Writes a message to standard error and ends the process.
pub(super) fn exit_with(message: &str) -> ! {
    let arguments = [libc::STDERR_FILENO as usize, message.as_ptr() as usize, message.len(), 0, 0, 0];
    loop {
        // SAFETY: the kernel reads the message; the process has one thread, and ends. A failed write cannot be handled.
        unsafe {
            let _ = call(libc::SYS_write, arguments);
            let _ = call(libc::SYS_exit_group, [CANNOT_EXECUTE, 0, 0, 0, 0, 0]);
        }
    }
}

/// Copies bytes.
///
/// # Safety
/// `bytes` bytes may be read at `from` and written at `to`, and the ranges do not overlap.
pub(super) unsafe fn copy(from: *const u8, to: *mut u8, bytes: usize) {
    // SAFETY: the caller guarantees it; the direction flag is clear.
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
/// `bytes` bytes may be written at `to`.
pub(super) unsafe fn clear(to: *mut u8, bytes: usize) {
    // SAFETY: the caller guarantees it; the direction flag is clear.
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
