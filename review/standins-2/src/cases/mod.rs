pub mod bad_client;
pub mod slow_board;
pub mod stale_release;
pub mod upgrade;
