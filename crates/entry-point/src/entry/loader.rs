//! Maps the dynamic loader as the kernel does for a program that requests one (64-bit ELF).

use super::kernel::{self, Backing, CallError, File};
use super::program_headers;
use super::stack::AuxiliaryVector;
use core::ffi::CStr;
use core::mem::MaybeUninit;
use libc::{Elf64_Ehdr, Elf64_Phdr};

/// The path of glibc's loader on x86-64 (System V ABI, program interpreter).
const PATH: &CStr = c"/lib64/ld-linux-x86-64.so.2";
const PAGE_BYTES: usize = 4096;
/// The number of bytes that are read from the loader's file. They must include its header and its program headers.
const HEADER_BYTES: usize = 4096;
/// The first four bytes of an ELF file, as a number.
const MAGIC: u32 = u32::from_ne_bytes([libc::ELFMAG0, libc::ELFMAG1, libc::ELFMAG2, libc::ELFMAG3]);

/// Why the loader could not be loaded.
#[derive(Clone, Copy)]
pub(super) enum LoadError {
    /// The program's headers are missing, or are too many.
    ProgramHeaders,
    /// The loader's file cannot be opened or read.
    File,
    /// The file is not a loader for this processor.
    Format,
    /// The loader's segments cannot be mapped.
    Memory,
}

impl LoadError {
    /// Returns the message for the user, one line.
    pub(super) fn message(self) -> &'static str {
        match self {
            LoadError::ProgramHeaders => {
                "shaletide: cannot start: the program headers of its own file are missing or too many\n"
            }
            LoadError::File => {
                "shaletide: cannot start: the dynamic loader /lib64/ld-linux-x86-64.so.2 cannot be read\n"
            }
            LoadError::Format => {
                "shaletide: cannot start: /lib64/ld-linux-x86-64.so.2 is not a dynamic loader for x86-64\n"
            }
            LoadError::Memory => {
                "shaletide: cannot start: the dynamic loader /lib64/ld-linux-x86-64.so.2 cannot be mapped\n"
            }
        }
    }
}

/// The first bytes of the loader's file.
#[repr(C, align(8))]
struct Headers([u8; HEADER_BYTES]);

/// Maps the loader, sets its own address and the program's headers in the auxiliary vector, and returns its entry address.
///
/// # Safety
/// `stack` points to the argument count that the kernel has put on the stack of this process, which has one thread.
pub(super) unsafe fn load(stack: *mut u64) -> Result<usize, LoadError> {
    // SAFETY: the caller guarantees it.
    let mut vector = unsafe { AuxiliaryVector::on_stack(stack) };
    // SAFETY: as above.
    if !unsafe { program_headers::add_loader(&mut vector, PATH) } {
        return Err(LoadError::ProgramHeaders);
    }
    let file = File::open(PATH).map_err(|CallError| LoadError::File)?;
    let image = map_file(&file)?;
    file.close();
    vector.set(libc::AT_BASE, image.moved_by as u64);
    Ok(image.entry)
}

/// The mapped loader.
struct Image {
    /// The offset from the addresses in its file, in bytes.
    moved_by: usize,
    /// The address of its first instruction.
    entry: usize,
}

fn map_file(file: &File) -> Result<Image, LoadError> {
    let mut headers = MaybeUninit::<Headers>::uninit();
    // SAFETY: the buffer has that size.
    let read = unsafe { file.read_begin(headers.as_mut_ptr().cast(), HEADER_BYTES) };
    let read = read.map_err(|CallError| LoadError::File)?;
    if read < size_of::<Elf64_Ehdr>() {
        return Err(LoadError::Format);
    }
    // SAFETY: at least the size of the header was read, and the buffer has the header's alignment.
    let header = unsafe { &*headers.as_ptr().cast::<Elf64_Ehdr>() };
    let segments = Segments::of(header, read).ok_or(LoadError::Format)?;
    let (first, end) = segments.span().ok_or(LoadError::Format)?;
    let reserved = kernel::reserve(end - first).map_err(|CallError| LoadError::Memory)?;
    let moved_by = reserved.wrapping_sub(first);
    for index in 0..segments.count {
        let segment = segments.get(index);
        if segment.p_type == libc::PT_LOAD {
            // SAFETY: the segment lies within the span.
            unsafe { map_segment(file, segment, moved_by) }.map_err(|CallError| LoadError::Memory)?;
        }
    }
    Ok(Image { moved_by, entry: moved_by.wrapping_add(header.e_entry as usize) })
}

/// The headers of a file's segments.
struct Segments<'a> {
    header: &'a Elf64_Ehdr,
    count: usize,
}

impl Segments<'_> {
    /// Returns the program headers that this file header refers to; `read` bytes of the file, from the header on, are in
    /// memory. Returns `None` if the file is not a loader for this processor, or its headers are not within these bytes.
    fn of(header: &Elf64_Ehdr, read: usize) -> Option<Segments<'_>> {
        // SAFETY: the identification has more than four bytes.
        let magic = unsafe { header.e_ident.as_ptr().cast::<u32>().read_unaligned() };
        let is_loader = magic == MAGIC
            && header.e_type == libc::ET_DYN
            && header.e_machine == libc::EM_X86_64
            && usize::from(header.e_phentsize) == size_of::<Elf64_Phdr>()
            && header.e_phoff as usize % align_of::<Elf64_Phdr>() == 0;
        let count = usize::from(header.e_phnum);
        let end = (header.e_phoff as usize).checked_add(count * size_of::<Elf64_Phdr>())?;
        (is_loader && end <= read).then_some(Segments { header, count })
    }

    fn get(&self, index: usize) -> &Elf64_Phdr {
        let begin: *const Elf64_Ehdr = self.header;
        // SAFETY: the headers are in memory and aligned, see `of`, and callers pass an index below `count`.
        unsafe {
            let headers = begin.cast::<u8>().add(self.header.e_phoff as usize);
            &*headers.cast::<Elf64_Phdr>().add(index)
        }
    }

    /// Returns the first address and the end of the segments to map, in whole pages; `None` if there are none.
    fn span(&self) -> Option<(usize, usize)> {
        let (mut first, mut end) = (usize::MAX, 0);
        for index in 0..self.count {
            let segment = self.get(index);
            if segment.p_type == libc::PT_LOAD {
                let begin = segment.p_vaddr as usize;
                first = first.min(page_begin(begin));
                end = end.max(page_end(begin.checked_add(segment.p_memsz as usize)?));
            }
        }
        (first < end).then_some((first, end))
    }
}

/// Maps a segment: its part in the file, then zeros to its end in memory and on to the end of that page, from which the loader
/// allocates its first memory.
///
/// # Safety
/// The segment's pages, moved by `moved_by`, were reserved, and nothing uses them.
unsafe fn map_segment(file: &File, segment: &Elf64_Phdr, moved_by: usize) -> Result<(), CallError> {
    let begin = moved_by.wrapping_add(segment.p_vaddr as usize);
    let file_end = begin + segment.p_filesz as usize;
    let end = page_end(begin + segment.p_memsz as usize);
    let protection = protection_of(segment.p_flags);
    let mut mapped_end = page_begin(begin);
    // SAFETY: the caller guarantees it. The cleared bytes are in the last page of the file's part, which is writable.
    unsafe {
        if segment.p_filesz > 0 {
            let part = Backing::File(file, page_begin(segment.p_offset as usize));
            kernel::map_at(mapped_end, file_end - mapped_end, protection, part)?;
            mapped_end = page_end(file_end);
            if protection & libc::PROT_WRITE != 0 {
                kernel::clear(file_end as *mut u8, mapped_end - file_end);
            }
        }
        if end > mapped_end {
            kernel::map_at(mapped_end, end - mapped_end, protection, Backing::Zeros)?;
        }
    }
    Ok(())
}

fn protection_of(flags: u32) -> i32 {
    let bit = |flag: u32, protection: i32| if flags & flag != 0 { protection } else { 0 };
    bit(libc::PF_R, libc::PROT_READ) | bit(libc::PF_W, libc::PROT_WRITE) | bit(libc::PF_X, libc::PROT_EXEC)
}

/// Returns the beginning of the page that contains this address.
fn page_begin(address: usize) -> usize {
    address & !(PAGE_BYTES - 1)
}

/// Returns the end of the last page of a range with this end.
fn page_end(end: usize) -> usize {
    page_begin(end + PAGE_BYTES - 1)
}
