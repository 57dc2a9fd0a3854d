//! Finds the sockets at a TCP address, as far as the kernel lets an unprivileged process see them: in the socket table in
//! `/proc/net/tcp` and `/proc/net/tcp6`, and among the descriptors of those processes that this process may inspect.
//!
//! A socket that is bound and neither listens nor is connected has no entry in the table.

use rustix::time::{clock_gettime, ClockId};
use std::collections::BTreeMap;
use std::fmt;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

/// The maximum number of lines of a socket table. A longer table is an error.
const MAX_LINES: usize = 1 << 18;
/// The maximum number of sockets that are returned for an address.
const MAX_HOLDERS: usize = 64;
/// The maximum number of processes whose descriptors are read.
const MAX_PROCESSES: usize = 4_096;
/// The limit on the processor time of reading the descriptors. Time in which the thread waits for a processor does not
/// count, so that a busy machine does not cut the search short.
const SEARCH_TIME: Duration = Duration::from_millis(250);

/// The state of a socket, as the kernel's number in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpState(u8);

impl TcpState {
    /// The socket accepts connections.
    pub const LISTEN: TcpState = TcpState(10);
}

impl fmt::Display for TcpState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const NAMES: [&str; 13] = [
            "unknown",
            "ESTABLISHED",
            "SYN_SENT",
            "SYN_RECV",
            "FIN_WAIT1",
            "FIN_WAIT2",
            "TIME_WAIT",
            "CLOSE",
            "CLOSE_WAIT",
            "LAST_ACK",
            "LISTEN",
            "CLOSING",
            "NEW_SYN_RECV",
        ];
        f.write_str(NAMES.get(usize::from(self.0)).copied().unwrap_or(NAMES[0]))
    }
}

/// A process that has a socket open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// The process id.
    pub id: u32,
    /// The command name, without arguments.
    pub name: String,
}

/// An entry of the socket table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SocketEntry {
    /// The local address.
    pub local: SocketAddr,
    /// The address of the peer; unspecified for a listener.
    pub remote: SocketAddr,
    /// The state of the socket.
    pub state: TcpState,
    /// The id of the user that owns the socket.
    pub user: u32,
    /// The inode; 0 if no process has the socket open any more.
    pub inode: u64,
    /// A process that has the socket open, if [`SocketHolders::find_processes`] has found one.
    pub process: Option<Process>,
}

impl SocketEntry {
    /// Parses a line of the table. Returns `None` for the header line, and for an unknown format.
    fn parse(line: &str) -> Option<SocketEntry> {
        let mut fields = line.split_ascii_whitespace().skip(1);
        let local = parse_address(fields.next()?)?;
        let remote = parse_address(fields.next()?)?;
        let state = TcpState(u8::from_str_radix(fields.next()?, 16).ok()?);
        // Skips the fields of the queues, the timer and the retransmits.
        let user = fields.nth(3)?.parse().ok()?;
        let inode = fields.nth(1)?.parse().ok()?;
        Some(SocketEntry { local, remote, state, user, inode, process: None })
    }

    /// Whether the socket occupies an address: the ports are equal, and the IP addresses are equal or one is unspecified.
    fn is_at(&self, at: SocketAddr) -> bool {
        let own = self.local.ip();
        let other = at.ip();
        self.local.port() == at.port() && (own == other || own.is_unspecified() || other.is_unspecified())
    }
}

impl fmt::Display for SocketEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.state == TcpState::LISTEN {
            write!(f, "held by a listening socket at {}", self.local)?;
        } else {
            let SocketEntry { local, remote, state, .. } = self;
            write!(f, "held by a connection in state {state} from {local} to {remote}")?;
        }
        write!(f, " (user {}, inode {}", self.user, self.inode)?;
        match &self.process {
            Some(process) => write!(f, ", process {} {})", process.id, process.name),
            None => f.write_str(")"),
        }
    }
}

/// The sockets at an address, at most 64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SocketHolders(pub Vec<SocketEntry>);

impl SocketHolders {
    /// Reads the sockets at an address from the kernel's table. The time grows with the length of the table; not to be
    /// called on the event loop's thread.
    ///
    /// # Errors
    /// Returns an error if the table cannot be read or has more than 262,144 lines.
    pub fn at_address(at: SocketAddr) -> io::Result<SocketHolders> {
        let mut holders = SocketHolders::default();
        holders.add_from(BufReader::new(File::open("/proc/net/tcp")?), at)?;
        match File::open("/proc/net/tcp6") {
            Ok(table) => holders.add_from(BufReader::new(table), at)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {} // a kernel without IPv6
            Err(error) => return Err(error),
        }
        Ok(holders)
    }

    fn add_from(&mut self, mut table: impl BufRead, at: SocketAddr) -> io::Result<()> {
        // Most lines are of other ports, and are skipped without parsing.
        let port = format!(":{:04X} ", at.port());
        let mut line = String::new();
        for _ in 0..MAX_LINES {
            line.clear();
            if table.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if line.contains(&port) && self.0.len() < MAX_HOLDERS {
                self.0.extend(SocketEntry::parse(&line).filter(|entry| entry.is_at(at)));
            }
        }
        Err(io::Error::other("socket table is too long"))
    }

    /// Adds the processes that have the sockets open, as far as their descriptors may be read. Takes at most 250 ms of the
    /// thread's processor time; not to be called on the event loop's thread.
    pub fn find_processes(&mut self) {
        self.find_processes_within(SEARCH_TIME);
    }

    fn find_processes_within(&mut self, search_time: Duration) {
        let wanted: Vec<u64> = self.0.iter().map(|entry| entry.inode).filter(|inode| *inode != 0).collect();
        if wanted.is_empty() {
            return;
        }
        let found = processes_with(&wanted, search_time);
        for entry in &mut self.0 {
            entry.process = found.get(&entry.inode).cloned();
        }
    }
}

/// Shows the first three sockets and the number of the others.
impl fmt::Display for SocketHolders {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const MAX_SHOWN: usize = 3;
        if self.0.is_empty() {
            return f.write_str("held by a socket that is bound and neither listens nor is connected");
        }
        for (at, entry) in self.0.iter().take(MAX_SHOWN).enumerate() {
            let separator = if at > 0 { "; " } else { "" };
            write!(f, "{separator}{entry}")?;
        }
        match self.0.len().saturating_sub(MAX_SHOWN) {
            0 => Ok(()),
            more => write!(f, "; and {more} more"),
        }
    }
}

/// Parses an address of the table: hexadecimal words in the machine's byte order, and a port. An IPv4-mapped IPv6 address
/// is returned as IPv4.
fn parse_address(field: &str) -> Option<SocketAddr> {
    let (ip, port) = field.split_once(':')?;
    let port = u16::from_str_radix(port, 16).ok()?;
    let word = |at: usize| u32::from_str_radix(ip.get(8 * at..8 * at + 8)?, 16).ok();
    let ip = match ip.len() {
        8 => IpAddr::V4(Ipv4Addr::from(word(0)?.to_ne_bytes())),
        32 => {
            let mut bytes = [0; 16];
            for (at, chunk) in bytes.chunks_exact_mut(4).enumerate() {
                chunk.copy_from_slice(&word(at)?.to_ne_bytes());
            }
            IpAddr::V6(Ipv6Addr::from(bytes)).to_canonical()
        }
        _ => return None,
    };
    Some(SocketAddr::new(ip, port))
}

/// A limit on the processor time that the calling thread uses after [`ProcessorTimeLimit::begin`].
struct ProcessorTimeLimit {
    ends_at: Duration,
}

impl ProcessorTimeLimit {
    fn begin(limit: Duration) -> ProcessorTimeLimit {
        ProcessorTimeLimit { ends_at: thread_processor_time() + limit }
    }

    fn is_over(&self) -> bool {
        thread_processor_time() > self.ends_at
    }
}

/// Returns the processor time that the calling thread has used.
fn thread_processor_time() -> Duration {
    let used = clock_gettime(ClockId::ThreadCPUTime);
    Duration::try_from(used).unwrap_or_default() // never negative
}

/// Returns the processes that have these sockets open, by inode. Of several processes with the same socket it returns the
/// first.
fn processes_with(inodes: &[u64], search_time: Duration) -> BTreeMap<u64, Process> {
    let mut found = BTreeMap::new();
    let limit = ProcessorTimeLimit::begin(search_time);
    let Ok(folders) = Path::new("/proc").read_dir() else { return found };
    let ids = folders.flatten().filter_map(|folder| folder.file_name().to_str()?.parse::<u32>().ok());
    for id in ids.take(MAX_PROCESSES) {
        let Ok(open) = Path::new("/proc").join(id.to_string()).join("fd").read_dir() else { continue };
        for descriptor in open.flatten() {
            if found.len() == inodes.len() || limit.is_over() {
                return found;
            }
            let inode = socket_inode(&descriptor.path());
            if let Some(inode) = inode.filter(|inode| inodes.contains(inode)) {
                found.entry(inode).or_insert_with(|| Process { id, name: process_name(id) });
            }
        }
    }
    found
}

/// Returns the inode of the socket that a descriptor in `/proc` refers to.
fn socket_inode(descriptor: &Path) -> Option<u64> {
    let target = descriptor.read_link().ok()?;
    target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
}

fn process_name(process: u32) -> String {
    let name = std::fs::read_to_string(format!("/proc/{process}/comm")).unwrap_or_default();
    name.trim_end().to_string()
}

#[cfg(test)]
mod tests;
