//! Names used in sites: ordinary words, some with characters that paths and headers must carry unchanged.

/// Zones.
pub const ZONES: [&str; 4] = ["north", "south", "east-1", "west.b"];
/// Kinds of machines.
pub const KINDS: [&str; 3] = ["small", "medium", "large"];
/// Tiers.
pub const TIERS: [&str; 4] = ["web", "api", "core-service", "worker"];
/// Classes of requests.
pub const CLASSES: [&str; 10] = [
    "search",
    "order",
    "status",
    "upload",
    "report.daily",
    "cart/ITEM",
    "login",
    "feed:live",
    "Export",
    "thumb@2x",
];
/// Tenants.
pub const TENANTS: [&str; 7] = ["alpha", "bravo-ltd", "Charlie", "delta+co", "echo_5", "foxtrot", "golf"];
