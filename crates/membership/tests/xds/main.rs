//! xDS: resources, conversations line by line, files, random faults, and the shell on loopback.

mod conversation;
mod faults;
mod file;
mod random;
mod resource;
mod shell;
mod talk;
