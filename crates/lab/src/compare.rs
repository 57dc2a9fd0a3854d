//! Sets runs beside each other: over seeds, and in pairs.
