//! A library preloaded (`LD_PRELOAD`) into a process under test. It replaces functions of the C library and makes them fail
//! at the rates in a shared file. It is a test artefact and not part of any product binary.
//!
//! Each function makes the system call itself, so that no symbol of the C library has to be looked up.
//! Unsafe code: exported C functions that receive raw pointers from their caller and pass them on to the kernel unchanged,
//! and one mapping of the shared file, which lives as long as the process.

#[path = "../src/call_faults.rs"]
#[allow(dead_code)] // the list of all faults is used only by the soak
mod call_faults;

use call_faults::{
    CallFault, CONTROL_BYTES, CONTROL_VARIABLE, FOLDER_VARIABLE, RATE_ONE, SEED_VARIABLE, WALL_OFFSET_AT,
};
use libc::{c_char, c_int, c_long, c_uint, c_void, off_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::CStr;
use std::sync::atomic::{AtomicI64, AtomicPtr, AtomicU32, AtomicU64, AtomicU8, Ordering::Relaxed};

/// Number of file descriptors whose kind is tracked.
const MAX_DESCRIPTORS: usize = 4096;
/// Size of a signal set in system calls, in bytes.
const KERNEL_SIGNAL_SET_BYTES: size_t = 8;
/// Maximum number of bytes of a short read or write.
const MAX_SHORT_BYTES: u64 = 7;
/// Interval at which a blocked call checks whether its fault is still on, in nanoseconds.
const HOLD_CHECK_INTERVAL_NS: c_long = 200_000;

/// Kinds of file descriptors, from the calls that the shim has seen.
const OTHER: u8 = 0;
const TCP_ACCEPTED: u8 = 1;
const TCP_OPENED: u8 = 2;
const FILE: u8 = 3;
const SIGNAL_FD: u8 = 4;
const WAKER: u8 = 5;

static KINDS: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(OTHER) }; MAX_DESCRIPTORS];
static CONTROL: AtomicPtr<u8> = AtomicPtr::new(std::ptr::null_mut());
static STATE: AtomicU8 = AtomicU8::new(UNREAD);
static RANDOM: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);

const UNREAD: u8 = 0;
const READING: u8 = 1;
const READ: u8 = 2;

fn variable(name: &str) -> Option<&'static CStr> {
    let mut terminated = [0u8; 64];
    terminated.get_mut(..name.len())?.copy_from_slice(name.as_bytes());
    // SAFETY: the name ends in a zero byte; the environment is not changed while the process starts.
    unsafe {
        let value = libc::getenv(terminated.as_ptr().cast::<c_char>());
        (!value.is_null()).then(|| CStr::from_ptr(value))
    }
}

/// Maps the shared file, once.
fn attach() {
    if STATE.compare_exchange(UNREAD, READING, Relaxed, Relaxed).is_err() {
        return;
    }
    if let Some(seed) = variable(SEED_VARIABLE).and_then(|text| text.to_str().ok()?.parse::<u64>().ok()) {
        RANDOM.store(seed.wrapping_mul(0x2545_f491_4f6c_dd1d) | 1, Relaxed);
    }
    if let Some(path) = variable(CONTROL_VARIABLE) {
        // SAFETY: plain system calls; the mapping is shared, of the stated size, and never removed.
        unsafe {
            let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR, 0);
            let access = libc::PROT_READ | libc::PROT_WRITE;
            let page =
                libc::mmap(std::ptr::null_mut(), CONTROL_BYTES, access, libc::MAP_SHARED, file as c_int, 0);
            libc::syscall(libc::SYS_close, file);
            if page != libc::MAP_FAILED {
                CONTROL.store(page.cast::<u8>(), Relaxed);
            }
        }
    }
    STATE.store(READ, Relaxed);
}

/// Returns the word at this offset of the shared file.
fn word(at: usize) -> Option<&'static AtomicU32> {
    if STATE.load(Relaxed) == UNREAD {
        attach();
    }
    let page = CONTROL.load(Relaxed);
    // SAFETY: within the page, aligned to 4 bytes, and only ever accessed as an atomic.
    (!page.is_null()).then(|| unsafe { &*page.add(at).cast::<AtomicU32>() })
}

fn random() -> u64 {
    let mut x = RANDOM.load(Relaxed);
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    RANDOM.store(x, Relaxed);
    x.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 16
}

/// Returns the probability that a call fails, in parts of [`RATE_ONE`].
fn rate(fault: CallFault) -> u32 {
    word(fault.rate_offset()).map_or(0, |rate| rate.load(Relaxed))
}

fn is_switched_on(fault: CallFault) -> bool {
    rate(fault) > 0
}

/// Draws whether a call is to fail now, and counts the injected fault.
fn fails(fault: CallFault) -> bool {
    let rate = rate(fault);
    if rate == 0 {
        return false;
    }
    let hit = random() % u64::from(RATE_ONE) < u64::from(rate);
    if hit {
        if let Some(count) = word(fault.count_offset()) {
            count.fetch_add(1, Relaxed);
        }
    }
    hit
}

fn one_of(errors: &[c_int]) -> c_int {
    errors[random() as usize % errors.len()]
}

fn fail(error: c_int) -> c_int {
    // SAFETY: the C library's own location of this thread's error number.
    unsafe { *libc::__errno_location() = error };
    -1
}

fn kind(descriptor: c_int) -> u8 {
    let at = usize::try_from(descriptor).ok().and_then(|at| KINDS.get(at));
    at.map_or(OTHER, |kind| kind.load(Relaxed))
}

fn set_kind(descriptor: c_int, kind: u8) {
    if let Some(at) = usize::try_from(descriptor).ok().and_then(|at| KINDS.get(at)) {
        at.store(kind, Relaxed);
    }
}

fn is_tcp(descriptor: c_int) -> bool {
    matches!(kind(descriptor), TCP_ACCEPTED | TCP_OPENED)
}

/// Returns whether a read of a signal, or a signal handler's write, is interrupted. The handler's socket is identified by
/// its address family because its descriptors may be duplicates.
fn interrupts_signal(descriptor: c_int, fault: CallFault) -> bool {
    is_switched_on(fault) && (kind(descriptor) == SIGNAL_FD || is_unix_socket(descriptor)) && fails(fault)
}

fn is_unix_socket(descriptor: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = std::mem::size_of::<c_int>() as socklen_t;
    let (level, name) = (libc::SOL_SOCKET, libc::SO_DOMAIN);
    // SAFETY: a system call that writes an integer of the stated length; it fails on a descriptor that is not a socket.
    let result =
        unsafe { libc::syscall(libc::SYS_getsockopt, descriptor, level, name, &mut domain, &mut length) };
    result == 0 && domain == libc::AF_UNIX
}

fn shortened(fault: CallFault, length: size_t) -> size_t {
    if length > MAX_SHORT_BYTES as size_t && fails(fault) {
        1 + (random() % MAX_SHORT_BYTES) as size_t
    } else {
        length
    }
}

/// Draws the error of a read from a TCP socket, before the system call.
fn read_error(descriptor: c_int, peeks: bool) -> Option<c_int> {
    if fails(CallFault::InterruptedRead) {
        return Some(libc::EINTR);
    }
    if !peeks && kind(descriptor) == TCP_OPENED && fails(CallFault::BrokenUpstream) {
        // SAFETY: a system call on a descriptor of the process. The peer sees the end of the connection.
        unsafe { libc::syscall(libc::SYS_shutdown, descriptor, libc::SHUT_RDWR) };
        return Some(one_of(&[libc::ETIMEDOUT, libc::EHOSTUNREACH]));
    }
    None
}

/// Draws the error or the delay of a write to a TCP socket, before the system call.
fn write_error() -> Option<c_int> {
    if fails(CallFault::InterruptedWrite) {
        return Some(libc::EINTR);
    }
    if fails(CallFault::SlowWrite) {
        pause_thread((20_000_000 + random() % 130_000_000) as c_long);
    }
    None
}

/// Pauses the calling thread for this time, which must be less than a second.
fn pause_thread(nanoseconds: c_long) {
    let pause = timespec { tv_sec: 0, tv_nsec: nanoseconds };
    // SAFETY: a valid time; the remaining time is not requested.
    unsafe { libc::syscall(libc::SYS_nanosleep, &pause, std::ptr::null_mut::<timespec>()) };
}

/// Blocks the calling thread until the fault is switched off.
fn hold_while_on(fault: CallFault) {
    if fails(fault) {
        while is_switched_on(fault) {
            pause_thread(HOLD_CHECK_INTERVAL_NS);
        }
    }
}

/// Blocks a peek at a TCP socket while that fault is switched on.
fn hold_peek(descriptor: c_int) {
    match kind(descriptor) {
        TCP_ACCEPTED => hold_while_on(CallFault::HeldClientPeek),
        TCP_OPENED => hold_while_on(CallFault::HeldUpstreamPeek),
        _ => {}
    }
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let mut length = length;
    if interrupts_signal(fd, CallFault::InterruptedSignalRead) {
        return fail(libc::EINTR) as ssize_t;
    }
    if is_tcp(fd) {
        let peeks = flags & libc::MSG_PEEK != 0;
        if let Some(error) = read_error(fd, peeks) {
            return fail(error) as ssize_t;
        }
        if peeks {
            hold_peek(fd);
        } else {
            length = shortened(CallFault::ShortRead, length);
        }
    }
    let (none, zero) = (std::ptr::null_mut::<c_void>(), 0usize);
    libc::syscall(libc::SYS_recvfrom, fd, buffer, length, flags, none, zero) as ssize_t
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    let mut length = length;
    if interrupts_signal(fd, CallFault::InterruptedSignalRead) {
        return fail(libc::EINTR) as ssize_t;
    }
    if is_tcp(fd) {
        if let Some(error) = read_error(fd, false) {
            return fail(error) as ssize_t;
        }
        length = shortened(CallFault::ShortRead, length);
    } else if kind(fd) == FILE && fails(CallFault::DiskRead) {
        return fail(libc::EIO) as ssize_t;
    }
    libc::syscall(libc::SYS_read, fd, buffer, length) as ssize_t
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let mut length = length;
    if interrupts_signal(fd, CallFault::InterruptedSignalWrite) {
        return fail(libc::EINTR) as ssize_t;
    }
    if is_tcp(fd) {
        if let Some(error) = write_error() {
            return fail(error) as ssize_t;
        }
        length = shortened(CallFault::ShortWrite, length);
    }
    let (none, zero) = (std::ptr::null_mut::<c_void>(), 0usize);
    libc::syscall(libc::SYS_sendto, fd, buffer, length, flags, none, zero) as ssize_t
}

/// Draws the fault of a write to a file in the watched folder: an error, or the number of bytes to write.
fn disk_write(fd: c_int, length: size_t) -> Result<size_t, c_int> {
    if kind(fd) != FILE || !fails(CallFault::DiskWrite) {
        return Ok(length);
    }
    let is_partial = one_of(&[0, 0, 1]) == 1;
    if length > 1 && is_partial {
        return Ok(1 + random() as size_t % (length - 1));
    }
    Err(one_of(&[libc::EIO, libc::ENOSPC]))
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let mut length = length;
    if interrupts_signal(fd, CallFault::InterruptedSignalWrite) {
        return fail(libc::EINTR) as ssize_t;
    }
    if kind(fd) == WAKER && fails(CallFault::InterruptedWake) {
        return fail(libc::EINTR) as ssize_t;
    }
    if is_tcp(fd) {
        if let Some(error) = write_error() {
            return fail(error) as ssize_t;
        }
        length = shortened(CallFault::ShortWrite, length);
    }
    match disk_write(fd, length) {
        Ok(length) => libc::syscall(libc::SYS_write, fd, buffer, length) as ssize_t,
        Err(error) => fail(error) as ssize_t,
    }
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int,
) -> c_int {
    if fails(CallFault::Accept) {
        return fail(one_of(&[
            libc::ECONNABORTED,
            libc::EINTR,
            libc::ENETDOWN,
            libc::EPROTO,
            libc::ENOPROTOOPT,
            libc::EHOSTDOWN,
            libc::ENONET,
            libc::EHOSTUNREACH,
            libc::EOPNOTSUPP,
            libc::ENETUNREACH,
            libc::EPERM,
            libc::ENOBUFS,
            libc::ENOMEM,
        ]));
    }
    let accepted = libc::syscall(libc::SYS_accept4, fd, address, length, flags) as c_int;
    if accepted >= 0 {
        set_kind(accepted, TCP_ACCEPTED);
    }
    accepted
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, form: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET && fails(CallFault::Socket) {
        return fail(one_of(&[libc::ENFILE, libc::ENOBUFS, libc::ENOMEM]));
    }
    let new_descriptor = libc::syscall(libc::SYS_socket, domain, form, protocol) as c_int;
    if new_descriptor >= 0 {
        set_kind(new_descriptor, OTHER);
    }
    new_descriptor
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn bind(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let is_ip = !address.is_null() && c_int::from((*address).sa_family) == libc::AF_INET;
    if is_ip && fails(CallFault::Bind) {
        return fail(one_of(&[libc::EADDRINUSE, libc::EADDRNOTAVAIL]));
    }
    libc::syscall(libc::SYS_bind, fd, address, length) as c_int
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn listen(fd: c_int, backlog: c_int) -> c_int {
    if fails(CallFault::Listen) {
        return fail(libc::EADDRINUSE);
    }
    libc::syscall(libc::SYS_listen, fd, backlog) as c_int
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if !address.is_null() && c_int::from((*address).sa_family) == libc::AF_INET {
        if fails(CallFault::Connect) {
            let errors = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS, libc::EINTR];
            return fail(one_of(&errors));
        }
        set_kind(fd, TCP_OPENED);
    }
    libc::syscall(libc::SYS_connect, fd, address, length) as c_int
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn setsockopt(
    fd: c_int, level: c_int, name: c_int, value: *const c_void, length: socklen_t,
) -> c_int {
    if is_tcp(fd) && fails(CallFault::SocketOption) {
        return fail(libc::ENOBUFS);
    }
    libc::syscall(libc::SYS_setsockopt, fd, level, name, value, length) as c_int
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn getsockopt(
    fd: c_int, level: c_int, name: c_int, value: *mut c_void, length: *mut socklen_t,
) -> c_int {
    let result = libc::syscall(libc::SYS_getsockopt, fd, level, name, value, length) as c_int;
    if kind(fd) == TCP_ACCEPTED && (level, name) == (libc::IPPROTO_TCP, libc::TCP_INFO) {
        hold_while_on(CallFault::HeldReceiptAge);
    }
    result
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int, events: *mut libc::epoll_event, most: c_int, timeout: c_int,
) -> c_int {
    if fails(CallFault::InterruptedWait) {
        return fail(libc::EINTR);
    }
    let (no_mask, mask_size) = (std::ptr::null_mut::<c_void>(), KERNEL_SIGNAL_SET_BYTES);
    libc::syscall(libc::SYS_epoll_pwait, epoll, events, most, timeout, no_mask, mask_size) as c_int
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn shutdown(fd: c_int, how: c_int) -> c_int {
    if is_tcp(fd) {
        hold_while_on(CallFault::HeldShutdown);
    }
    libc::syscall(libc::SYS_shutdown, fd, how) as c_int
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn close(fd: c_int) -> c_int {
    set_kind(fd, OTHER);
    libc::syscall(libc::SYS_close, fd) as c_int
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn signalfd(fd: c_int, mask: *const libc::sigset_t, flags: c_int) -> c_int {
    let new_descriptor =
        libc::syscall(libc::SYS_signalfd4, fd, mask, KERNEL_SIGNAL_SET_BYTES, flags) as c_int;
    if new_descriptor >= 0 {
        set_kind(new_descriptor, SIGNAL_FD);
    }
    new_descriptor
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn eventfd(count: c_uint, flags: c_int) -> c_int {
    let new_descriptor = libc::syscall(libc::SYS_eventfd2, count, flags) as c_int;
    if new_descriptor >= 0 {
        set_kind(new_descriptor, WAKER);
    }
    new_descriptor
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn pipe2(ends: *mut c_int, flags: c_int) -> c_int {
    let result = libc::syscall(libc::SYS_pipe2, ends, flags) as c_int;
    if result == 0 {
        set_kind(*ends, WAKER);
        set_kind(*ends.add(1), WAKER);
    }
    result
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, at: *mut timespec) -> c_int {
    let done = libc::syscall(libc::SYS_clock_gettime, clock, at) as c_int;
    if done == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        let _ = word(0); // maps the shared file if it is not mapped yet
        let page = CONTROL.load(Relaxed);
        if !page.is_null() {
            let offset_ms = (*page.add(WALL_OFFSET_AT).cast::<AtomicI64>()).load(Relaxed);
            (*at).tv_sec += offset_ms / 1000;
        }
    }
    done
}

fn is_watched(path: *const c_char) -> bool {
    let Some(folder) = variable(FOLDER_VARIABLE) else { return false };
    // SAFETY: the caller's path, which ends in a zero byte.
    !path.is_null() && unsafe { CStr::from_ptr(path) }.to_bytes().starts_with(folder.to_bytes())
}

fn path_error(path: *const c_char) -> Option<c_int> {
    (is_watched(path) && fails(CallFault::DiskOpen)).then(|| one_of(&[libc::EIO, libc::ENOSPC, libc::ENFILE]))
}

unsafe fn open_at(folder: c_int, path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    if let Some(error) = path_error(path) {
        return fail(error);
    }
    let opened = libc::syscall(libc::SYS_openat, folder, path, flags, mode) as c_int;
    if opened >= 0 {
        set_kind(opened, if is_watched(path) { FILE } else { OTHER });
    }
    opened
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    open_at(libc::AT_FDCWD, path, flags, mode)
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    open_at(libc::AT_FDCWD, path, flags, mode)
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn pread64(fd: c_int, buffer: *mut c_void, length: size_t, offset: off_t) -> ssize_t {
    if kind(fd) == FILE && fails(CallFault::DiskRead) {
        return fail(libc::EIO) as ssize_t;
    }
    libc::syscall(libc::SYS_pread64, fd, buffer, length, offset) as ssize_t
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn pread(fd: c_int, buffer: *mut c_void, length: size_t, offset: off_t) -> ssize_t {
    pread64(fd, buffer, length, offset)
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(
    fd: c_int, buffer: *const c_void, length: size_t, offset: off_t,
) -> ssize_t {
    match disk_write(fd, length) {
        Ok(length) => libc::syscall(libc::SYS_pwrite64, fd, buffer, length, offset) as ssize_t,
        Err(error) => fail(error) as ssize_t,
    }
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn pwrite(fd: c_int, buffer: *const c_void, length: size_t, offset: off_t) -> ssize_t {
    pwrite64(fd, buffer, length, offset)
}

fn sync_error(fd: c_int) -> Option<c_int> {
    (kind(fd) == FILE && fails(CallFault::DiskSync)).then(|| one_of(&[libc::EIO, libc::ENOSPC]))
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    sync_error(fd).map_or_else(|| libc::syscall(libc::SYS_fsync, fd) as c_int, fail)
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    sync_error(fd).map_or_else(|| libc::syscall(libc::SYS_fdatasync, fd) as c_int, fail)
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn ftruncate64(fd: c_int, length: off_t) -> c_int {
    let fault = kind(fd) == FILE && fails(CallFault::DiskOpen);
    if fault {
        return fail(libc::EIO);
    }
    libc::syscall(libc::SYS_ftruncate, fd, length) as c_int
}

/// # Safety
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    path_error(path).map_or_else(|| libc::syscall(libc::SYS_unlinkat, libc::AT_FDCWD, path, 0) as c_int, fail)
}
