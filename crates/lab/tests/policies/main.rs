//! The lab's policies: each ordinary one keeps the rules, each chooses as its textbook says, and each broken
//! one breaks the rule it is for.

mod broken;
mod checker;
mod choices;
mod policy_harness;
mod rules;
