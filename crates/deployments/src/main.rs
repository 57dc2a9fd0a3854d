//! `shaletide-deployments`: writes seeded site files into a folder.

use clap::Parser;
use shaletide_deployments::cli::{Arguments, Request};
use shaletide_deployments::{draw, write};
use std::process::ExitCode;

/// The exit status for invalid arguments, those that clap rejects included.
const USAGE_STATUS: u8 = 2;

fn main() -> ExitCode {
    let request = match Request::try_from(Arguments::parse()) {
        Ok(request) => request,
        Err(errors) => {
            for error in errors {
                eprintln!("shaletide-deployments: {error}");
            }
            return ExitCode::from(USAGE_STATUS);
        }
    };
    match write::write_all(&request, &draw::sites(request.seed, request.count)) {
        Ok(paths) => {
            for path in paths {
                println!("{}", path.display());
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("shaletide-deployments: {error}");
            ExitCode::FAILURE
        }
    }
}
