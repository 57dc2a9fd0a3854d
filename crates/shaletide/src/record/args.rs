//! The arguments.

use clap::{ArgAction, Args, Subcommand, ValueEnum};
use std::ffi::OsString;
use std::path::PathBuf;

/// The store of record: what the proxy knew and did.
///
/// Reading works beside a running proxy. What changes the store goes through the control socket of the proxy that holds
/// it, or straight to the file when no proxy does. Status 0: done, or whole. 1: the answer is no. 2: it makes no sense,
/// or cannot be read.
#[derive(Args, Debug)]
pub struct Record {
    /// The time zone in which times are shown and read: a name such as Europe/Berlin, UTC, or an offset such as
    /// +02:00; else the system's.
    #[arg(long, global = true, value_name = "ZONE")]
    pub tz: Option<String>,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// The whole story of one key. Status 1 where nothing is on record.
    Show {
        #[command(flatten)]
        place: StoreArgs,
        /// The key.
        #[arg(long)]
        key: OsString,
        #[command(flatten)]
        which: KeyArgs,
    },
    /// Facts, the oldest first; or, with --in-doubt, the keys that are not settled.
    List(List),
    /// All facts, or those asked for, one a line.
    Export {
        #[command(flatten)]
        place: StoreArgs,
        /// The form.
        #[arg(long, value_enum)]
        format: Format,
        #[command(flatten)]
        filter: FactFilter,
        /// At most so many; else all.
        #[arg(long, value_name = "N")]
        limit: Option<u64>,
        /// Only those behind this row.
        #[arg(long, value_name = "ROW", default_value_t = 0)]
        after: u64,
    },
    /// Whether every row is as it was written. Status 0: whole; 1: not, and where.
    Verify {
        #[command(flatten)]
        place: StoreArgs,
        /// A head that was noted earlier, as ROW:SUM, so that a cut end shows.
        #[arg(long, value_name = "ROW:SUM")]
        head: Option<String>,
    },
    /// Copies the store as it is at one moment into a new file.
    Backup {
        #[command(flatten)]
        place: StoreArgs,
        /// The file to make.
        #[arg(long, value_name = "FILE")]
        to: PathBuf,
    },
    /// Ends a doubt: whether the attempt that may have run did.
    Resolve {
        /// The key.
        key: OsString,
        /// It ran: the key counts as served. It did not: the key is free.
        #[arg(long, value_enum)]
        ran: YesNo,
        /// Who says so.
        #[arg(long, value_name = "NAME")]
        by: String,
        /// How they know.
        #[arg(long, value_name = "TEXT")]
        note: String,
        #[command(flatten)]
        place: StoreArgs,
        #[command(flatten)]
        control: ControlArgs,
        #[command(flatten)]
        which: KeyArgs,
    },
    /// Takes out the oldest rows, up to the first that is not older or whose key is not settled.
    Prune {
        /// Those before this: a time, or a span such as 90d.
        #[arg(long, value_name = "TIME")]
        before: String,
        /// Who has it done.
        #[arg(long, value_name = "NAME")]
        by: String,
        #[command(flatten)]
        place: StoreArgs,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Puts on record that an earlier row is wrong; that row stays.
    Correct {
        /// The number of that row.
        #[arg(value_name = "ROW")]
        of: u64,
        /// What is right.
        #[arg(long, value_name = "TEXT")]
        text: String,
        /// Who says so.
        #[arg(long, value_name = "NAME")]
        by: String,
        /// How they know.
        #[arg(long, value_name = "TEXT")]
        note: Option<String>,
        #[command(flatten)]
        place: StoreArgs,
        #[command(flatten)]
        control: ControlArgs,
    },
}

/// Which store.
#[derive(Args, Debug)]
pub struct StoreArgs {
    /// The store's file.
    #[arg(long, value_name = "FILE")]
    pub store: Option<PathBuf>,
    /// The operators' file, which names the store and the control socket.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

/// Which proxy.
#[derive(Args, Debug)]
pub struct ControlArgs {
    /// The control socket of the running proxy.
    #[arg(long, value_name = "SOCKET")]
    pub control: Option<PathBuf>,
}

/// Which key, where one stands for several.
#[derive(Args, Debug)]
pub struct KeyArgs {
    /// The key's tenant; empty for none.
    #[arg(long)]
    pub tenant: Option<String>,
    /// The key's class.
    #[arg(long)]
    pub class: Option<String>,
    /// The key is given in hexadecimal digits, as `list` shows odd ones.
    #[arg(long, action = ArgAction::SetTrue)]
    pub hex: bool,
}

#[derive(Args, Debug)]
pub struct List {
    #[command(flatten)]
    pub place: StoreArgs,
    /// Keys in doubt or in flight, instead of facts.
    #[arg(long, conflicts_with_all = ["since", "until", "after"])]
    pub in_doubt: bool,
    #[command(flatten)]
    pub filter: FactFilter,
    /// At most so many.
    #[arg(long, value_name = "N", default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    pub limit: u64,
    /// Only those behind this row.
    #[arg(long, value_name = "ROW", default_value_t = 0)]
    pub after: u64,
}

/// Which facts.
#[derive(Args, Debug)]
pub struct FactFilter {
    /// Of this time or later: a time, or a span back from now such as 2h.
    #[arg(long, value_name = "TIME")]
    pub since: Option<String>,
    /// Earlier than this.
    #[arg(long, value_name = "TIME")]
    pub until: Option<String>,
    /// About keys of this tenant.
    #[arg(long)]
    pub tenant: Option<String>,
    /// About this backend.
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
