//! System call faults, and the layout of the shared file that controls them. Used by the soak and by the preloaded shim,
//! which is built as a separate library.

/// A fault injected into a system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallFault {
    /// A read from a TCP socket returns 1 to 7 bytes; the rest stays in the kernel.
    ShortRead,
    /// A write to a TCP socket takes 1 to 7 bytes.
    ShortWrite,
    /// A read or peek at a TCP socket fails with EINTR without reading.
    InterruptedRead,
    /// A write to a TCP socket fails with EINTR without writing.
    InterruptedWrite,
    /// A wait for events fails with EINTR.
    InterruptedWait,
    /// An accept fails with one of the network errors that Linux passes on, or with an out-of-memory error.
    Accept,
    /// A socket cannot be created: ENFILE, ENOBUFS or ENOMEM.
    Socket,
    /// A connect fails before an attempt is made: EADDRNOTAVAIL, ENETUNREACH, ENOBUFS or EINTR.
    Connect,
    /// A read on a connection opened by the process fails: ETIMEDOUT or EHOSTUNREACH.
    BrokenUpstream,
    /// A socket option cannot be set: ENOBUFS.
    SocketOption,
    /// A write to a TCP socket is delayed by 20 to 150 ms.
    SlowWrite,
    /// A read from a file in the watched folder fails with EIO.
    DiskRead,
    /// A write to a file in the watched folder fails with EIO or ENOSPC, or is partial.
    DiskWrite,
    /// A sync of a file in the watched folder fails with EIO or ENOSPC.
    DiskSync,
    /// A file in the watched folder cannot be opened, truncated or removed: EIO, ENOSPC or ENFILE.
    DiskOpen,
    /// An address with a port cannot be bound: EADDRINUSE or EADDRNOTAVAIL.
    Bind,
    /// A bound socket cannot listen: EADDRINUSE.
    Listen,
    /// A read from a signalfd, or from the Unix socket to which a signal handler writes, fails with EINTR.
    InterruptedSignalRead,
    /// A signal handler's write to its Unix socket fails with EINTR without writing.
    InterruptedSignalWrite,
    /// A write to the eventfd or pipe that wakes the event loop fails with EINTR.
    InterruptedWake,
    /// The process is blocked before the `shutdown` of a TCP socket, and so between its last check for input and the close,
    /// until the rate is 0 again.
    HeldShutdown,
    /// The process is blocked after it has read the time since a client's last bytes from the kernel (`TCP_INFO`), until
    /// the rate is 0 again.
    HeldReceiptAge,
    /// The process is blocked before it peeks at a client's connection, until the rate is 0 again.
    HeldClientPeek,
    /// The process is blocked before it peeks at a connection that it opened, until the rate is 0 again.
    HeldUpstreamPeek,
}

impl CallFault {
    /// All faults, in the order of their discriminants.
    pub const ALL: [CallFault; 24] = [
        CallFault::ShortRead,
        CallFault::ShortWrite,
        CallFault::InterruptedRead,
        CallFault::InterruptedWrite,
        CallFault::InterruptedWait,
        CallFault::Accept,
        CallFault::Socket,
        CallFault::Connect,
        CallFault::BrokenUpstream,
        CallFault::SocketOption,
        CallFault::SlowWrite,
        CallFault::DiskRead,
        CallFault::DiskWrite,
        CallFault::DiskSync,
        CallFault::DiskOpen,
        CallFault::Bind,
        CallFault::Listen,
        CallFault::InterruptedSignalRead,
        CallFault::InterruptedSignalWrite,
        CallFault::InterruptedWake,
        CallFault::HeldShutdown,
        CallFault::HeldReceiptAge,
        CallFault::HeldClientPeek,
        CallFault::HeldUpstreamPeek,
    ];

    /// Byte offset of the fault's rate in the shared file: the probability that a call fails, in parts of [`RATE_ONE`].
    pub const fn rate_offset(self) -> usize {
        self as usize * 4
    }

    /// Byte offset of the number of injected faults in the shared file.
    pub const fn count_offset(self) -> usize {
        COUNTS_OFFSET + self as usize * 4
    }
}

/// Size of the shared file in bytes: one page.
pub const CONTROL_BYTES: usize = 4096;
/// The rate at which every call fails.
pub const RATE_ONE: u32 = 65_536;
/// Byte offset of the first count.
const COUNTS_OFFSET: usize = 256;
/// Byte offset of the wall clock's offset: 8 bytes, in milliseconds.
pub const WALL_OFFSET_AT: usize = 512;

/// Environment variable with the path of the shared file. If it is not set, the shim injects no fault.
pub const CONTROL_VARIABLE: &str = "SHALETIDE_FAULT_CONTROL";
/// Environment variable with the seed of the shim's random numbers.
pub const SEED_VARIABLE: &str = "SHALETIDE_FAULT_SEED";
/// Environment variable with the watched folder, whose files are subject to disk faults.
pub const FOLDER_VARIABLE: &str = "SHALETIDE_FAULT_FOLDER";
