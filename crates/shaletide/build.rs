//! Links the program at a fixed address, so that the loader has no address in it to relocate: until it has done so, nothing
//! of the program runs, and a signal that comes meanwhile ends the process.

fn main() {
    println!("cargo:rerun-if-changed=build.rs");
    println!("cargo:rustc-link-arg-bins=-no-pie");
}
