//! Tests of `files` that need its private items.

use super::*;
use std::io::Write;

/// Guards against half a file that is valid being applied as the whole: a file must not change while it is read again.
#[test]
fn file_written_during_a_second_reading_is_rejected() {
    let path = std::env::temp_dir().join(format!("shaletide-still-{}", std::process::id()));
    let next = path.with_extension("next");
    std::fs::write(&path, "half").unwrap();
    let more = || {
        let mut file = std::fs::File::options().append(true).open(&path).unwrap();
        file.write_all(b" and half").unwrap();
    };
    let another = || {
        std::fs::write(&next, "half and half").unwrap();
        std::fs::rename(&next, &path).unwrap();
    };
    let read =
        |reading, wait: &dyn Fn()| read_unchanged(&path, 100, reading, wait).map_err(|e| e.to_string());
    let changed = Err("the file changed while it was being read".to_string());
    assert_eq!(read(ReadMode::Again, &|| ()), Ok(b"half".to_vec()));
    assert_eq!(read(ReadMode::Again, &more), changed);
    assert_eq!(read(ReadMode::Again, &another), changed, "replaced by another file of the same length");
    assert_eq!(read(ReadMode::Again, &|| ()), Ok(b"half and half".to_vec()));
    assert_eq!(read(ReadMode::First, &|| panic!("a first read does not wait")).unwrap().len(), 13);
    assert!(read(ReadMode::Again, &|| std::fs::remove_file(&path).unwrap()).is_err());
}
