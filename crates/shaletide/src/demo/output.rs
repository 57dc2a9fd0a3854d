//! The demo's lines on standard output.

use std::io::Write;

/// Prints a line. Errors are ignored: the demo continues if the reader has gone.
pub fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}
