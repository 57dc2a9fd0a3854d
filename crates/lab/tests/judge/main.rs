//! The judge over runs made by hand.

mod common;
mod lies;
mod recovery;
