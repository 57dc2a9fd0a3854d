//! The control socket, over which operators send commands to a running proxy: a Unix socket that only its owner can open.
//! Each command and each reply is one line of JSON.
//!
//! [`ControlServer::bind`] and [`ControlServer::serve`] are the server side, which the proxy runs on its own thread.
//! [`send_command`] is the client side for the command line. The handler passed to [`ControlServer::serve`] carries out the
//! commands.
#![forbid(unsafe_code)]

mod client;
mod command;
mod error;
mod server;
mod socket_file;

pub use client::{send_command, send_command_with_timeout};
pub use command::{Command, CommandError, Key, Reply, MAX_LINE, MAX_NAME, MAX_TEXT};
pub use error::ControlError;
pub use server::{BoundSocket, ControlServer};
