//! Reads the information that the tracer needs from a program's file (ELF, 64 bits, little-endian) and from its process.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Offsets in the file's header.
const ENTRY_AT: u64 = 0x18;
const SECTIONS_AT: u64 = 0x28;
const SECTION_BYTES_AT: u64 = 0x3a;
const SECTION_COUNT_AT: u64 = 0x3c;
/// Offsets in the header of a section.
const SECTION_TYPE_AT: u64 = 0x04;
const SECTION_ADDRESS_AT: u64 = 0x10;
/// The type of `.preinit_array`.
const PREINIT_ARRAY: u64 = 16;
/// Key of the program's entry point in the auxiliary vector.
const AUXILIARY_ENTRY: u64 = 9;

/// Addresses in the file.
pub struct Layout {
    /// The program's first instruction.
    pub entry: u64,
    /// The functions that the loader calls before all constructors.
    pub preinit_array: Option<u64>,
}

/// Reads the layout from a program's file.
pub fn layout(program: &Path) -> io::Result<Layout> {
    let file = File::open(program)?;
    let number = |at: u64, bytes: usize| -> io::Result<u64> {
        let mut number = [0; 8];
        file.read_exact_at(&mut number[..bytes], at)?;
        Ok(u64::from_le_bytes(number))
    };
    let sections = number(SECTIONS_AT, 8)?;
    let section_bytes = number(SECTION_BYTES_AT, 2)?;
    let mut preinit_array = None;
    for index in 0..number(SECTION_COUNT_AT, 2)? {
        let section = sections + index * section_bytes;
        if number(section + SECTION_TYPE_AT, 4)? == PREINIT_ARRAY {
            preinit_array = Some(number(section + SECTION_ADDRESS_AT, 8)?);
        }
    }
    Ok(Layout { entry: number(ENTRY_AT, 8)?, preinit_array })
}

/// Returns the address of the program's first instruction in the memory of its process.
pub fn entry_in_memory(pid: i32) -> io::Result<u64> {
    let vector = std::fs::read(format!("/proc/{pid}/auxv"))?;
    let word = |bytes: &[u8]| bytes.try_into().map(u64::from_le_bytes).unwrap_or_default();
    let entry = vector.chunks_exact(16).find(|pair| word(&pair[..8]) == AUXILIARY_ENTRY);
    entry.map(|pair| word(&pair[8..])).ok_or_else(|| io::ErrorKind::NotFound.into())
}
