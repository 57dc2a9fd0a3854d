//! The fleet lab: many real processes of the program on loopback, faults between them, and a measured account of
//! what their clients got.
//!
//! For experiments alone: no product crate may import it.

pub mod links;
