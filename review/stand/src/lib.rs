//! Stand-ins for the cases of the review: the platform's store, workers, callers, and the network
//! between the project's own processes.

pub mod check;
pub mod http;
pub mod net;
pub mod record;
pub mod site;
pub mod store;
pub mod worker;
