//! Reads an operators' file and prints its configuration, or the report of all its problems.

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| "deploy/operator.example.toml".into());
    let bytes = std::fs::read(&path).unwrap_or_else(|e| panic!("{path}: {e}"));
    match shaletide_config::operator::read_bytes(&path, &bytes) {
        Ok(operator) => println!("{operator:#?}"),
        Err(report) => {
            eprintln!("{report}");
            std::process::exit(2);
        }
    }
}
