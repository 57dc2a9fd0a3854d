//! The first instruction, and where the process continues.

mod kernel;
mod loader;
mod program_headers;
mod stack;

use crate::mask::{record_inherited, BLOCKED_SIGNALS, MASK_BYTES};
use core::arch::global_asm;

// The kernel, and later the loader, jumps here. `rsp` points to the argument count and is aligned to 16 bytes; `rdx` is 0 from
// the kernel, and from the loader the address of its exit function (System V ABI for x86-64, process initialization).
//
// The call that blocks the signals comes first. Its operands are below the stack pointer, in a page that is already in memory:
// any other page might have to be read from a disk first, and a signal that arrives meanwhile would end the process.
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

/// Returns the address at which the process continues after its signals are blocked: in the loader if the kernel has started
/// the program, and in `_start` if the loader has done its work, which it shows by passing its exit function.
///
/// `inherited_mask` is the signal mask from before the signals were blocked.
///
/// # Safety
/// `stack` is the initial stack that the kernel has laid out for the process.
unsafe extern "C" fn next_instruction(stack: *mut u64, exit_function: usize, inherited_mask: u64) -> usize {
    record_inherited(inherited_mask);
    if exit_function != 0 {
        return _start as *const () as usize;
    }
    // SAFETY: the caller guarantees it.
    match unsafe { loader::load(stack) } {
        Ok(entry) => entry,
        Err(error) => kernel::exit_with(error.message()),
    }
}
