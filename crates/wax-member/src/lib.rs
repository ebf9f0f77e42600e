//! Membership of the daemons: each one renews a row of the table as its heartbeat and observes the
//! rows of all others.

mod heartbeat;
mod row;
mod watch;

pub use heartbeat::{MemberHandle, maintain_membership};
pub use row::{MEMBER_PREFIX, MemberRow, member_key};
pub use watch::{MemberState, MemberWatch};
