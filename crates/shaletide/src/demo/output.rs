//! The demo's lines on standard output.

use std::io::Write;

/// Prints a line. A reader that has gone changes nothing.
pub fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}
