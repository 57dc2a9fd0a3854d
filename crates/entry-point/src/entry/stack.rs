//! The arguments, the environment and the auxiliary vector as the kernel has laid them out on the stack of a new process
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
    /// `stack` is where the kernel has put the argument count of this process, and nothing has changed what follows it.
    pub(super) unsafe fn on_stack(stack: *mut u64) -> AuxiliaryVector {
        // SAFETY: behind the count come the arguments and the environment, both with a null pointer at their end, and then
        // the vector.
        unsafe {
            let arguments = stack.add(1);
            let environment = arguments.add(*stack as usize + 1);
            AuxiliaryVector(behind_null(environment).cast())
        }
    }

    /// The value of the first entry with this key.
    pub(super) fn get(&self, key: u64) -> Option<u64> {
        // SAFETY: the entry is one of this process's, see `on_stack`.
        self.find(key).map(|entry| unsafe { (*entry).value })
    }

    /// Changes the value of the first entry with this key; without one it does nothing.
    pub(super) fn set(&mut self, key: u64, value: u64) {
        if let Some(entry) = self.find(key) {
            // SAFETY: as above, and the stack may be written to.
            unsafe { (*entry).value = value };
        }
    }

    fn find(&self, key: u64) -> Option<*mut Entry> {
        let mut entry = self.0;
        // SAFETY: the vector ends with an entry of the key AT_NULL.
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

/// # Safety
/// A word from there on is zero.
unsafe fn behind_null(mut word: *mut u64) -> *mut u64 {
    // SAFETY: as the caller has promised.
    unsafe {
        while *word != 0 {
            word = word.add(1);
        }
        word.add(1)
    }
}
