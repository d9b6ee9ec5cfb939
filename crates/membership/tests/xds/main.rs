//! xDS: resources, conversations line by line, files, random faults.

mod conversation;
mod faults;
mod file;
mod random;
mod resource;
mod talk;
