//! Service discovery: the endpoint registry and the watch that keeps it up to date.
//!
//! [`DiscoveryClient`] keeps one HTTP/1.1 watch open. The bytes of its response go through [`chunked`] (the chunked
//! transfer coding) and [`framing`] (one JSON object at a time) into an [`EndpointListDocument`], which
//! [`EndpointRegistry::apply`] turns into the change that the balancer is notified of. [`wall_clock`] converts the
//! times at which servers started. Only [`client`] does I/O. The node owns one client and one registry.

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
