//! Finds the first instruction of a program in the memory of its process (ELF, 64 bits, little-endian).
//!
//! The kernel starts a program without a loader (`PT_INTERP`) at its entry point. If a program has a loader, the loader
//! calls the functions in `.preinit_array` before all other code of the program.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Size of a word in memory, in bytes.
const WORD_BYTES: usize = 8;
/// Keys of the auxiliary vector: its end, the address, size and number of the program headers, and the entry point.
const AUXILIARY_END: u64 = 0;
const HEADERS: u64 = 3;
const HEADER_BYTES: u64 = 4;
const HEADER_COUNT: u64 = 5;
const PROGRAM_ENTRY: u64 = 9;
/// Types of program headers: the header table itself, the dynamic section, and the loader.
const HEADERS_TYPE: u32 = 6;
const DYNAMIC_TYPE: u32 = 2;
const LOADER_TYPE: u32 = 3;
/// Offset of the virtual address in a program header.
const ADDRESS_AT: u64 = 0x10;
/// Tags of the dynamic section: its end, and the address of `.preinit_array`.
const DYNAMIC_END: u64 = 0;
const PREINIT_ARRAY: u64 = 32;
/// Upper bound for the entries of a dynamic section.
const MAX_DYNAMIC_ENTRIES: u64 = 1000;

/// Returns the address of the first instruction of the program that the process with this `/proc` folder executes; `None`
/// if it is not known, or if the process cannot be inspected.
pub(super) fn of_process(folder: &Path) -> Option<u64> {
    // The kernel's copy: changes that the process makes to its own copy are not visible here.
    let vector = std::fs::read(folder.join("auxv")).ok()?;
    let memory = Memory(File::open(folder.join("mem")).ok()?);
    let headers = memory.headers(&vector).ok()?;
    if !headers.requests_loader {
        return auxiliary(&vector, PROGRAM_ENTRY);
    }
    let array = memory.preinit_array(&headers).ok()??;
    memory.word(array).ok()
}

/// Information from the program headers.
#[derive(Default)]
struct Headers {
    /// Load bias: the difference between the addresses in memory and those in the file.
    moved_by: Option<u64>,
    /// Address of the dynamic section in the file.
    dynamic: Option<u64>,
    requests_loader: bool,
}

struct Memory(File);

impl Memory {
    fn word(&self, address: u64) -> io::Result<u64> {
        let mut word = [0; WORD_BYTES];
        self.0.read_exact_at(&mut word, address)?;
        Ok(u64::from_le_bytes(word))
    }

    fn headers(&self, vector: &[u8]) -> io::Result<Headers> {
        let mut headers = Headers::default();
        let entry = |key| auxiliary(vector, key).ok_or(io::ErrorKind::NotFound);
        for index in 0..entry(HEADER_COUNT)? {
            let header = entry(HEADERS)? + index * entry(HEADER_BYTES)?;
            let address = self.word(header + ADDRESS_AT)?;
            match self.word(header)? as u32 {
                HEADERS_TYPE => headers.moved_by = Some(entry(HEADERS)?.wrapping_sub(address)),
                DYNAMIC_TYPE => headers.dynamic = Some(address),
                LOADER_TYPE => headers.requests_loader = true,
                _ => {}
            }
        }
        Ok(headers)
    }

    fn preinit_array(&self, headers: &Headers) -> io::Result<Option<u64>> {
        let (Some(moved_by), Some(dynamic)) = (headers.moved_by, headers.dynamic) else { return Ok(None) };
        let array = self.dynamic_entry(dynamic.wrapping_add(moved_by), PREINIT_ARRAY)?;
        Ok(array.map(|array| array.wrapping_add(moved_by)))
    }

    fn dynamic_entry(&self, section: u64, wanted: u64) -> io::Result<Option<u64>> {
        for index in 0..MAX_DYNAMIC_ENTRIES {
            let entry = section + index * 2 * WORD_BYTES as u64;
            match self.word(entry)? {
                DYNAMIC_END => break,
                tag if tag == wanted => return self.word(entry + WORD_BYTES as u64).map(Some),
                _ => {}
            }
        }
        Ok(None)
    }
}

fn auxiliary(vector: &[u8], key: u64) -> Option<u64> {
    let word = |bytes: &[u8]| bytes.try_into().map(u64::from_le_bytes).unwrap_or(AUXILIARY_END);
    let pair = vector.chunks_exact(2 * WORD_BYTES).find(|pair| word(&pair[..WORD_BYTES]) == key)?;
    Some(word(&pair[WORD_BYTES..]))
}
