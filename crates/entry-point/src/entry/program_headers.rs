//! The program's headers, completed by the request for a loader that its file lacks: the loader expects to find one.

use super::kernel;
use super::stack::AuxiliaryVector;
use core::cell::UnsafeCell;
use core::ffi::CStr;
use libc::Elf64_Phdr;

/// The most headers that the table holds; linkers write about a dozen.
const MAX_HEADERS: usize = 32;

/// The copy of the headers. Written once, before the process has a second thread.
struct Table(UnsafeCell<[Elf64_Phdr; MAX_HEADERS]>);

// SAFETY: see above.
unsafe impl Sync for Table {}

const EMPTY: Elf64_Phdr = Elf64_Phdr {
    p_type: libc::PT_NULL,
    p_flags: 0,
    p_offset: 0,
    p_vaddr: 0,
    p_paddr: 0,
    p_filesz: 0,
    p_memsz: 0,
    p_align: 0,
};

static TABLE: Table = Table(UnsafeCell::new([EMPTY; MAX_HEADERS]));

/// Copies the program's headers, adds the request for this loader, and points the auxiliary vector to the copy. Returns whether
/// the headers fit.
///
/// # Safety
/// The vector is that of this process, as the kernel has made it, and the process has one thread.
pub(super) unsafe fn add_loader(vector: &mut AuxiliaryVector, loader: &'static CStr) -> bool {
    let (Some(headers), Some(count)) = (vector.get(libc::AT_PHDR), vector.get(libc::AT_PHNUM)) else {
        return false;
    };
    let count = count as usize;
    if count >= MAX_HEADERS {
        return false;
    }
    let table: *mut Elf64_Phdr = TABLE.0.get().cast();
    // SAFETY: the kernel guarantees that many headers, and the table has room for them and for one more.
    unsafe {
        kernel::copy(headers as *const u8, table.cast(), count * size_of::<Elf64_Phdr>());
        let moved_by = move_headers_to(table, count, headers);
        let request = table.add(count);
        (*request).p_type = libc::PT_INTERP;
        (*request).p_flags = libc::PF_R;
        (*request).p_vaddr = (loader.as_ptr() as u64).wrapping_sub(moved_by);
        (*request).p_paddr = (*request).p_vaddr;
        (*request).p_filesz = loader.to_bytes_with_nul().len() as u64;
        (*request).p_memsz = (*request).p_filesz;
        (*request).p_align = 1;
    }
    vector.set(libc::AT_PHDR, table as u64);
    vector.set(libc::AT_PHNUM, count as u64 + 1);
    true
}

/// Puts the address of the table in the header that describes the headers themselves, if there is one: the loader uses it to
/// compute by how much the program was moved from the addresses in its file. Returns that offset; 0 without such a header, as
/// in a program that is linked at a fixed address.
///
/// # Safety
/// The table holds `count` headers, copied from `headers`.
unsafe fn move_headers_to(table: *mut Elf64_Phdr, count: usize, headers: u64) -> u64 {
    for index in 0..count {
        // SAFETY: the caller guarantees it.
        let header = unsafe { &mut *table.add(index) };
        if header.p_type == libc::PT_PHDR {
            let moved_by = headers.wrapping_sub(header.p_vaddr);
            header.p_vaddr = (table as u64).wrapping_sub(moved_by);
            header.p_paddr = header.p_vaddr;
            return moved_by;
        }
    }
    0
}
