//! The auxiliary vector, which the kernel places behind the arguments and the environment on the stack of a new process
//! (System V ABI for x86-64, process initialization).

/// An entry of the auxiliary vector.
#[repr(C)]
struct Entry {
    key: u64,
    value: u64,
}

/// The auxiliary vector of this process.
pub(super) struct AuxiliaryVector(*mut Entry);

impl AuxiliaryVector {
    /// # Safety
    /// `stack` points to the argument count that the kernel has put on the stack of this process, and the data behind it is
    /// unchanged.
    pub(super) unsafe fn on_stack(stack: *mut u64) -> AuxiliaryVector {
        // SAFETY: the count is followed by the arguments and the environment, both terminated by a null pointer, and then by
        // the vector.
        unsafe {
            let arguments = stack.add(1);
            let environment = arguments.add(*stack as usize + 1);
            AuxiliaryVector(behind_null(environment).cast())
        }
    }

    /// Returns the value of the first entry with this key.
    pub(super) fn get(&self, key: u64) -> Option<u64> {
        // SAFETY: the entry is in this process's vector, see `on_stack`.
        self.find(key).map(|entry| unsafe { (*entry).value })
    }

    /// Changes the value of the first entry with this key; does nothing if there is none.
    pub(super) fn set(&mut self, key: u64, value: u64) {
        if let Some(entry) = self.find(key) {
            // SAFETY: as above, and the stack is writable.
            unsafe { (*entry).value = value };
        }
    }

    fn find(&self, key: u64) -> Option<*mut Entry> {
        let mut entry = self.0;
        // SAFETY: the vector ends with an entry with the key AT_NULL.
        unsafe {
            while (*entry).key != libc::AT_NULL {
                if (*entry).key == key {
                    return Some(entry);
                }
                entry = entry.add(1);
            }
        }
        None
    }
}

/// Returns the address behind the next zero word.
///
/// # Safety
/// There is a zero word at `word` or behind it, and all words up to it may be read.
unsafe fn behind_null(mut word: *mut u64) -> *mut u64 {
    // SAFETY: the caller guarantees it.
    unsafe {
        while *word != 0 {
            word = word.add(1);
        }
        word.add(1)
    }
}
