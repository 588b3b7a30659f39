pub mod bad_client;
pub mod heard_and_lost;
pub mod slow_board;
pub mod stale_release;
