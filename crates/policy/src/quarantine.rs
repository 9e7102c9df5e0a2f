//! Workers that fail every task, told apart from jobs that fail everywhere.
