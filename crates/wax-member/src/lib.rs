//! Membership: each daemon that others must find renews a row of the table.

mod heartbeat;
mod row;
mod watch;

pub use heartbeat::{MemberHandle, maintain_membership};
pub use row::{MEMBER_PREFIX, MemberRow, member_key};
pub use watch::{MemberState, MemberWatch};
