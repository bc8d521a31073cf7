//! Service discovery: the endpoint registry and the watch that keeps it up to date.
//!
//! [`DiscoveryClient`] keeps one HTTP/1.1 watch open. The response bytes pass through [`chunked`] (decodes the chunked
//! transfer coding) and [`framing`] (splits the body into JSON objects), and each object is parsed as an
//! [`EndpointListDocument`]. [`EndpointRegistry::apply`] turns a list into the change that is reported to the balancer.
//! [`wall_clock`] converts server start times to the node's clock. Only [`client`] performs I/O. A node owns one client
//! and one registry.

mod chunked;
mod client;
mod document;
mod framing;
mod registry;
mod wall_clock;
mod watch;

pub use client::{DiscoveryClient, TransferredWatch};
pub use document::EndpointListDocument;
pub use registry::EndpointRegistry;
pub use watch::WatchState;
