//! Shows a verdict: as text for a terminal and as one HTML page.
