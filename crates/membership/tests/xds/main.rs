//! xDS: resources, conversations line by line, and random faults.

mod conversation;
mod faults;
mod random;
mod resource;
mod talk;
