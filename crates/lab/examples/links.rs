//! Prints what was asked of each fault of a link against what came at the other end, and what a clean link adds to
//! a round trip: `cargo run --release -p shaletide-lab --example links`.

use shaletide_lab::links::measure;

fn main() -> std::io::Result<()> {
    let rows = measure::faults(7)?;
    let added = measure::added(10_000)?;
    print!("{}", measure::markdown(&rows, &added));
    Ok(())
}
