//! The mappings of a process's memory, as `/proc/PID/smaps` lists them.

use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};

/// Prefix of the line with the resident size of a mapping.
const RESIDENT: &str = "Rss:";
/// Index of the file name in the first line of a mapping.
const FILE_FIELD: usize = 5;

struct Mapping {
    addresses: Range<u64>,
    /// Offset of the mapping in its file, in bytes.
    offset: u64,
    is_code: bool,
    file: Option<PathBuf>,
    /// Resident size, in KiB.
    resident_kib: Option<u64>,
}

impl Mapping {
    /// Parses the first line of a mapping.
    fn parse(line: &str) -> Option<Mapping> {
        let mut fields = line.split_whitespace();
        let (from, to) = fields.next()?.split_once('-')?;
        let addresses = u64::from_str_radix(from, 16).ok()?..u64::from_str_radix(to, 16).ok()?;
        let is_code = fields.next()?.contains('x');
        let offset = u64::from_str_radix(fields.next()?, 16).ok()?;
        let file = line.split_whitespace().nth(FILE_FIELD).map(PathBuf::from);
        Some(Mapping { addresses, offset, is_code, file, resident_kib: None })
    }
}

/// The mappings of a process.
pub(super) struct MemoryMap(Vec<Mapping>);

impl MemoryMap {
    /// Reads the mappings of the process or thread with this `/proc` folder.
    pub(super) fn read(folder: &Path) -> io::Result<MemoryMap> {
        std::fs::read_to_string(folder.join("smaps")).map(|text| MemoryMap::parse(&text))
    }

    pub(super) fn parse(text: &str) -> MemoryMap {
        let mut mappings: Vec<Mapping> = Vec::new();
        for line in text.lines() {
            if let Some(mapping) = Mapping::parse(line) {
                mappings.push(mapping);
            } else if let (Some(size), Some(mapping)) = (line.strip_prefix(RESIDENT), mappings.last_mut()) {
                mapping.resident_kib = size.split_whitespace().next().and_then(|size| size.parse().ok());
            }
        }
        MemoryMap(mappings)
    }

    fn mapping_at(&self, address: u64) -> Option<&Mapping> {
        self.0.iter().find(|mapping| mapping.addresses.contains(&address))
    }

    /// Returns the file that is mapped at this address.
    pub(super) fn file_at(&self, address: u64) -> Option<&Path> {
        self.mapping_at(address)?.file.as_deref()
    }

    /// Returns the offset of this address in the file that is mapped there, in bytes.
    pub(super) fn offset_at(&self, address: u64) -> Option<u64> {
        let mapping = self.mapping_at(address).filter(|mapping| mapping.file.is_some())?;
        Some(mapping.offset + (address - mapping.addresses.start))
    }

    /// Returns whether the process has accessed any code of this file; `None` if no code of the file is mapped. The kernel
    /// maps a page of code only when the process accesses that page or one near it, and reclaims the least recently used
    /// pages first.
    pub(super) fn has_accessed_code_of(&self, file: &Path) -> Option<bool> {
        let is_code = |mapping: &&Mapping| mapping.is_code && mapping.file.as_deref() == Some(file);
        let resident: Option<Vec<u64>> =
            self.0.iter().filter(is_code).map(|mapping| mapping.resident_kib).collect();
        let resident = resident.filter(|sizes| !sizes.is_empty())?;
        Some(resident.iter().any(|size| *size > 0))
    }
}
