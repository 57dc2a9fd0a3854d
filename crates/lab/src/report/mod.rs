//! Shows a verdict: [`text()`] for a terminal, [`html`] as one page that needs nothing beside it.
//!
//! Both show the same [`tables`]; the page adds pictures. Nothing is measured here.

mod page;
mod pictures;
pub mod tables;
mod text;

pub use page::html;
pub use text::text;
