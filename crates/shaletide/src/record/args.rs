//! The arguments of `shaletide record`.

use clap::{ArgAction, Args, Subcommand, ValueEnum};
use std::ffi::OsString;
use std::path::PathBuf;

/// Read, verify, copy and maintain the store of record: what the proxy knew and did.
///
/// Commands that read work beside a running proxy. Commands that change the store go through the control socket of the
/// proxy that holds it, or directly to the file when no proxy does. Status 0: done, or the store is intact. 1: the answer
/// is negative. 2: the command or the store is invalid, or cannot be read.
#[derive(Args, Debug)]
pub struct Record {
    /// The time zone in which times are shown and read: a name such as Europe/Berlin, UTC, or an offset such as
    /// +02:00; by default the system's.
    #[arg(long, global = true, value_name = "ZONE")]
    pub tz: Option<String>,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Print the history of one key. Status 1 if nothing is on record.
    Show {
        #[command(flatten)]
        place: StoreArgs,
        /// The key.
        #[arg(long)]
        key: OsString,
        #[command(flatten)]
        which: KeyArgs,
    },
    /// List facts, the oldest first, or, with --in-doubt, the keys that are not settled.
    List(List),
    /// Print all or selected facts, one per line.
    Export {
        #[command(flatten)]
        place: StoreArgs,
        /// The output format.
        #[arg(long, value_enum)]
        format: Format,
        #[command(flatten)]
        filter: FactFilter,
        /// The maximum number of rows; by default all.
        #[arg(long, value_name = "N")]
        limit: Option<u64>,
        /// Only rows after this one.
        #[arg(long, value_name = "ROW", default_value_t = 0)]
        after: u64,
    },
    /// Check that every row is as it was written. Status 0: intact; 1: not, and the output says where.
    Verify {
        #[command(flatten)]
        place: StoreArgs,
        /// A head noted earlier, as ROW:SUM, to detect that the last rows are missing.
        #[arg(long, value_name = "ROW:SUM")]
        head: Option<String>,
    },
    /// Copy a consistent snapshot of the store into a new file.
    Backup {
        #[command(flatten)]
        place: StoreArgs,
        /// The file to create.
        #[arg(long, value_name = "FILE")]
        to: PathBuf,
    },
    /// Resolve a key in doubt: whether its attempt ran.
    Resolve {
        /// The key.
        key: OsString,
        /// Whether the attempt ran. If yes, the key counts as served; if no, the key is free.
        #[arg(long, value_enum)]
        ran: YesNo,
        /// The person who resolves the key.
        #[arg(long, value_name = "NAME")]
        by: String,
        /// How the person knows.
        #[arg(long, value_name = "TEXT")]
        note: String,
        #[command(flatten)]
        place: StoreArgs,
        #[command(flatten)]
        control: ControlArgs,
        #[command(flatten)]
        which: KeyArgs,
    },
    /// Remove the oldest rows, up to the first that is not older or whose key is not settled.
    Prune {
        /// Remove rows from before this: a time, or an age such as 90d.
        #[arg(long, value_name = "TIME")]
        before: String,
        /// The person who has the rows removed.
        #[arg(long, value_name = "NAME")]
        by: String,
        #[command(flatten)]
        place: StoreArgs,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Record that an earlier row is wrong; that row stays.
    Correct {
        /// The number of the wrong row.
        #[arg(value_name = "ROW")]
        of: u64,
        /// The correction.
        #[arg(long, value_name = "TEXT")]
        text: String,
        /// The person who corrects the row.
        #[arg(long, value_name = "NAME")]
        by: String,
        /// How the person knows.
        #[arg(long, value_name = "TEXT")]
        note: Option<String>,
        #[command(flatten)]
        place: StoreArgs,
        #[command(flatten)]
        control: ControlArgs,
    },
}

/// The arguments that name the store.
#[derive(Args, Debug)]
pub struct StoreArgs {
    /// The store's file.
    #[arg(long, value_name = "FILE")]
    pub store: Option<PathBuf>,
    /// The operators' file, which names the store and the control socket.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

/// The argument that names the running proxy.
#[derive(Args, Debug)]
pub struct ControlArgs {
    /// The control socket of the running proxy.
    #[arg(long, value_name = "SOCKET")]
    pub control: Option<PathBuf>,
}

/// The arguments that select one of several equal keys.
#[derive(Args, Debug)]
pub struct KeyArgs {
    /// The key's tenant; empty if the key has none.
    #[arg(long)]
    pub tenant: Option<String>,
    /// The key's class.
    #[arg(long)]
    pub class: Option<String>,
    /// The key is given in hexadecimal digits, as `list` prints keys with special characters.
    #[arg(long, action = ArgAction::SetTrue)]
    pub hex: bool,
}

#[derive(Args, Debug)]
pub struct List {
    #[command(flatten)]
    pub place: StoreArgs,
    /// List keys in doubt or in flight instead of facts.
    #[arg(long, conflicts_with_all = ["since", "until", "after"])]
    pub in_doubt: bool,
    #[command(flatten)]
    pub filter: FactFilter,
    /// The maximum number of lines.
    #[arg(long, value_name = "N", default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    pub limit: u64,
    /// Only rows after this one.
    #[arg(long, value_name = "ROW", default_value_t = 0)]
    pub after: u64,
}

/// The arguments that select facts.
#[derive(Args, Debug)]
pub struct FactFilter {
    /// Facts of this time or later: a time, or an age such as 2h.
    #[arg(long, value_name = "TIME")]
    pub since: Option<String>,
    /// Facts from before this time.
    #[arg(long, value_name = "TIME")]
    pub until: Option<String>,
    /// Facts about keys of this tenant.
    #[arg(long)]
    pub tenant: Option<String>,
    /// Facts about this backend.
    #[arg(long = "box", value_name = "BOX")]
    pub backend: Option<String>,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Format {
    Jsonl,
    Csv,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum YesNo {
    Yes,
    No,
}
