//! Sections of the configuration document at the highest revision seen.
