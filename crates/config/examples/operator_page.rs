//! Prints the operators' page: `cargo run -p shaletide-config --example operator_page > docs/operator-file.md`.

fn main() {
    print!("{}", shaletide_config::schema::page());
}
