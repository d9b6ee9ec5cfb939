//! xDS: resources, conversations line by line, files, random faults, and the shell on loopback.

mod faults;
mod file;
mod random;
mod resource;
mod session;
mod talk;
mod transport;
