pub mod heard_and_lost;
pub mod long_numbers;
pub mod marked_id;
pub mod slow_board;
pub mod stale_release;
