//! Parses YAML into a tree of nodes with their positions. JSON is parsed as a subset of YAML.

use super::problem::DiagnosticKind;
use rustc_hash::FxHashSet;
use saphyr_parser::{Event, Marker, Parser, ScalarStyle, Tag};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A position in a file: line and column, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    pub line: usize,
    pub column: usize,
}

/// A value and the position where it begins.
#[derive(Clone, Debug)]
pub(super) struct Node {
    pub position: Position,
    pub value: Value,
}

#[derive(Clone, Debug)]
pub(super) enum Value {
    Null,
    Bool(bool),
    /// A number as written in the file.
    Number(String),
    Text(String),
    List(Vec<Node>),
    Table(Vec<Entry>),
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub position: Position,
    /// The key as written in the file.
    pub name: String,
    pub node: Node,
}

pub(super) type TreeError = (Position, DiagnosticKind);

/// The maximum nesting depth. Without this limit, a file of opening brackets would overflow the stack when
/// the tree is walked.
const MAX_DEPTH: usize = 64;
/// The maximum number of nodes that aliases add. Without this limit, nested aliases of a few lines would
/// expand exponentially.
const MAX_ALIASED_NODES: usize = 100_000;

impl From<Marker> for Position {
    fn from(mark: Marker) -> Position {
        Position { line: mark.line(), column: mark.col() + 1 }
    }
}

/// A list or table that is not closed yet.
struct OpenCollection {
    position: Position,
    anchor: usize,
    items: Vec<Node>,
    table: Option<Table>,
}

/// The entries of a table, and the key whose value follows.
#[derive(Default)]
struct Table {
    key: Option<(Position, String)>,
    entries: Vec<Entry>,
    names: FxHashSet<String>,
}

struct Builder {
    open: Vec<OpenCollection>,
    anchors: BTreeMap<usize, Rc<Node>>,
    aliased_nodes: usize,
    root: Option<Node>,
}

impl Node {
    /// Parses a file.
    pub fn parse(text: &str) -> Result<Node, TreeError> {
        let end_of_file = || Position { line: text.lines().count().max(1), column: 1 };
        // The closing brace shows that JSON is complete. Truncated YAML, even cut off in the middle of a port
        // number, is often valid YAML, so the document end mark is required.
        let is_json = text.trim_start().starts_with('{');
        if !is_json && text.trim_end().lines().next_back() != Some("...") {
            return Err((end_of_file(), DiagnosticKind::Truncated));
        }
        let mut builder =
            Builder { open: Vec::new(), anchors: BTreeMap::new(), aliased_nodes: 0, root: None };
        for event in Parser::new_from_str(text) {
            let (event, span) = event.map_err(|error| {
                (Position::from(*error.marker()), DiagnosticKind::Syntax(error.info().to_owned()))
            })?;
            builder.handle_event(event, span.start.into())?;
        }
        builder.root.ok_or_else(|| (end_of_file(), DiagnosticKind::Syntax("the file is empty".into())))
    }

    /// Returns the node of a field such as `endpoints[0].priority`, or its nearest existing ancestor.
    pub fn find(&self, field: &str) -> &Node {
        let mut node = self;
        let segments = field.split(['.', '[', ']']).filter(|segment| !segment.is_empty());
        for segment in segments {
            let next = match &node.value {
                Value::Table(entries) => {
                    entries.iter().find(|entry| snake_case(&entry.name) == segment).map(|entry| &entry.node)
                }
                Value::List(items) => segment.parse().ok().and_then(|index: usize| items.get(index)),
                _ => None,
            };
            match next {
                Some(next) => node = next,
                None => return node,
            }
        }
        node
    }

    fn node_count(&self) -> usize {
        1 + match &self.value {
            Value::List(items) => items.iter().map(Node::node_count).sum(),
            Value::Table(entries) => entries.iter().map(|entry| entry.node.node_count()).sum(),
            _ => 0,
        }
    }
}

impl Builder {
    fn handle_event(&mut self, event: Event, position: Position) -> Result<(), TreeError> {
        match event {
            Event::SequenceStart(anchor, _) => self.open_collection(position, anchor, None),
            Event::MappingStart(anchor, _) => self.open_collection(position, anchor, Some(Table::default())),
            Event::SequenceEnd | Event::MappingEnd => {
                let Some(OpenCollection { position, anchor, items, table }) = self.open.pop() else {
                    return Ok(());
                };
                let value = match table {
                    Some(table) => Value::Table(table.entries),
                    None => Value::List(items),
                };
                self.add_node(Node { position, value }, anchor)
            }
            Event::Scalar(text, style, anchor, tag) => {
                let value = scalar_value(text, style, tag.as_deref());
                self.add_node(Node { position, value }, anchor)
            }
            Event::Alias(anchor) => {
                let Some(node) = self.anchors.get(&anchor) else {
                    return Err((
                        position,
                        DiagnosticKind::Syntax("an alias refers to an incomplete value".into()),
                    ));
                };
                self.aliased_nodes += node.node_count();
                if self.aliased_nodes > MAX_ALIASED_NODES {
                    return Err((
                        position,
                        DiagnosticKind::Unsupported("aliases expand to more than 100000 values"),
                    ));
                }
                let node = Node::clone(node);
                self.add_node(node, 0)
            }
            Event::Nothing
            | Event::StreamStart
            | Event::StreamEnd
            | Event::DocumentStart(_)
            | Event::DocumentEnd => Ok(()),
        }
    }

    fn open_collection(
        &mut self,
        position: Position,
        anchor: usize,
        table: Option<Table>,
    ) -> Result<(), TreeError> {
        if self.open.len() >= MAX_DEPTH {
            return Err((position, DiagnosticKind::Unsupported("nesting is deeper than 64 levels")));
        }
        self.open.push(OpenCollection { position, anchor, items: Vec::new(), table });
        Ok(())
    }

    fn add_node(&mut self, node: Node, anchor: usize) -> Result<(), TreeError> {
        if anchor != 0 {
            self.anchors.insert(anchor, Rc::new(node.clone()));
        }
        let Some(open) = self.open.last_mut() else {
            if self.root.is_some() {
                return Err((
                    node.position,
                    DiagnosticKind::Unsupported("only one YAML document is supported"),
                ));
            }
            self.root = Some(node);
            return Ok(());
        };
        match &mut open.table {
            None => open.items.push(node),
            Some(table) => match table.key.take() {
                None => table.key = Some((node.position, mapping_key(node)?)),
                Some((position, name)) if !table.names.insert(name.clone()) => {
                    return Err((position, DiagnosticKind::DuplicateField));
                }
                Some((position, name)) => table.entries.push(Entry { position, name, node }),
            },
        }
        Ok(())
    }
}

fn mapping_key(node: Node) -> Result<String, TreeError> {
    match node.value {
        Value::Text(text) if text == "<<" => Err((
            node.position,
            DiagnosticKind::Unsupported("merge keys are not supported; write out the fields"),
        )),
        Value::Text(text) => Ok(text),
        Value::Number(text) => Ok(text),
        Value::Bool(is) => Ok(is.to_string()),
        Value::Null | Value::List(_) | Value::Table(_) => {
            Err((node.position, DiagnosticKind::Unsupported("a key must be a string")))
        }
    }
}

/// Returns the protobuf name of a field, which files may also write in camel case.
pub(super) fn snake_case(name: &str) -> String {
    let mut text = String::with_capacity(name.len() + 4);
    for c in name.chars() {
        if c.is_ascii_uppercase() {
            text.push('_');
        }
        text.push(c.to_ascii_lowercase());
    }
    text
}

/// Reads a scalar according to the YAML 1.2 core schema.
fn scalar_value(text: Cow<str>, style: ScalarStyle, tag: Option<&Tag>) -> Value {
    let is_string = tag.is_some_and(|tag| tag.suffix == "str" || tag.handle == "!");
    if style != ScalarStyle::Plain || is_string {
        return Value::Text(text.into_owned());
    }
    match &*text {
        "" | "~" | "null" | "Null" | "NULL" => Value::Null,
        "true" | "True" | "TRUE" => Value::Bool(true),
        "false" | "False" | "FALSE" => Value::Bool(false),
        number if is_number(number) => Value::Number(text.into_owned()),
        _ => Value::Text(text.into_owned()),
    }
}

fn is_number(text: &str) -> bool {
    let starts = text.starts_with(|c: char| c.is_ascii_digit() || "+-.".contains(c));
    starts && text.bytes().any(|b| b.is_ascii_digit()) && text.parse::<f64>().is_ok()
}
