//! The first instruction, and where the process goes from there.

mod kernel;
mod loader;
mod program_headers;
mod stack;

use crate::mask::{record_inherited, BLOCKED_SIGNALS, MASK_BYTES};
use core::arch::global_asm;

// The kernel, and later the loader, jumps here. `rsp` is at the argument count, on a boundary of 16 bytes; `rdx` is 0 from the
// kernel, and from the loader the address of its function for the exit (System V ABI for x86-64, process initialization).
//
// The call that blocks the signals comes first. What it reads and writes lies below the stack pointer, in a page that is in
// memory already: any other one might have to come from a disk first, and a signal that comes meanwhile ends the process.
global_asm!(
    ".pushsection .text.shaletide_program_entry, \"ax\", @progbits",
    ".globl shaletide_program_entry",
    ".type shaletide_program_entry, @function",
    "shaletide_program_entry:",
    "mov r12, rdx",
    "mov rbx, rsp",
    "mov qword ptr [rsp - 8], {signals}",
    "mov eax, {set_mask}",
    "mov edi, {block}",
    "lea rsi, [rsp - 8]",
    "lea rdx, [rsp - 16]",
    "mov r10d, {mask_bytes}",
    "syscall",
    "mov rdi, rsp",
    "mov rsi, r12",
    "mov rdx, [rsp - 16]",
    "xor ebp, ebp",
    "call {next}",
    "mov rsp, rbx",
    "mov rdx, r12",
    "jmp rax",
    ".size shaletide_program_entry, . - shaletide_program_entry",
    ".popsection",
    signals = const BLOCKED_SIGNALS,
    set_mask = const libc::SYS_rt_sigprocmask,
    block = const libc::SIG_BLOCK,
    mask_bytes = const MASK_BYTES,
    next = sym next_instruction,
);

extern "C" {
    /// The C library's code before `main`.
    fn _start();
}

/// Where the process goes on after its signals are blocked: in the loader if the kernel has started the program, and in
/// `_start` if the loader has done its work and comes with a function for the exit.
///
/// `inherited_mask`: what the call to block the signals has found.
///
/// # Safety
/// `stack` is what the kernel has laid out for the process.
unsafe extern "C" fn next_instruction(stack: *mut u64, exit_function: usize, inherited_mask: u64) -> usize {
    record_inherited(inherited_mask);
    if exit_function != 0 {
        return _start as *const () as usize;
    }
    // SAFETY: as the caller has promised.
    match unsafe { loader::load(stack) } {
        Ok(entry) => entry,
        Err(error) => kernel::exit_with(error.message()),
    }
}
