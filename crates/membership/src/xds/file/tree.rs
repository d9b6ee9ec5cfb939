//! YAML as a tree whose nodes know their places. JSON is read as the part of YAML that it is.

use super::problem::DiagnosticKind;
use rustc_hash::FxHashSet;
use saphyr_parser::{Event, Marker, Parser, ScalarStyle, Tag};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A place in a text: line and column, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub line: usize,
    pub column: usize,
}

/// A value and where it begins.
#[derive(Clone, Debug)]
pub(super) struct Node {
    pub place: Place,
    pub value: Value,
}

#[derive(Clone, Debug)]
pub(super) enum Value {
    Null,
    Bool(bool),
    /// A number as it is written.
    Number(String),
    Text(String),
    List(Vec<Node>),
    Table(Vec<Entry>),
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub place: Place,
    /// As it is written.
    pub name: String,
    pub node: Node,
}

pub(super) type Unreadable = (Place, DiagnosticKind);

/// Danger: a text of brackets alone would overflow the stack of whoever walks the tree.
const DEEPEST: usize = 64;
/// Danger: aliases of aliases grow without limit from a few lines.
const MOST_FROM_ALIASES: usize = 100_000;

impl From<Marker> for Place {
    fn from(mark: Marker) -> Place {
        Place { line: mark.line(), column: mark.col() + 1 }
    }
}

/// A list or a table that is not closed yet.
struct Open {
    place: Place,
    anchor: usize,
    items: Vec<Node>,
    table: Option<Table>,
}

/// The entries of a table, and the key whose value comes next.
#[derive(Default)]
struct Table {
    key: Option<(Place, String)>,
    entries: Vec<Entry>,
    names: FxHashSet<String>,
}

struct Builder {
    open: Vec<Open>,
    anchors: BTreeMap<usize, Rc<Node>>,
    from_aliases: usize,
    root: Option<Node>,
}

impl Node {
    /// Reads a text.
    pub fn read(text: &str) -> Result<Node, Unreadable> {
        let end = || Place { line: text.lines().count().max(1), column: 1 };
        // JSON tells by its closing brace that it is whole. Danger: YAML that is torn off, even in the middle
        // of a port, is often shorter YAML.
        let is_json = text.trim_start().starts_with('{');
        if !is_json && text.trim_end().lines().next_back() != Some("...") {
            return Err((end(), DiagnosticKind::Torn));
        }
        let mut builder = Builder { open: Vec::new(), anchors: BTreeMap::new(), from_aliases: 0, root: None };
        for event in Parser::new_from_str(text) {
            let (event, span) = event.map_err(|error| {
                (Place::from(*error.marker()), DiagnosticKind::Syntax(error.info().to_owned()))
            })?;
            builder.take(event, span.start.into())?;
        }
        builder.root.ok_or_else(|| (end(), DiagnosticKind::Syntax("the text is blank".into())))
    }

    /// The deepest node on the way to a field such as `endpoints[0].priority`.
    pub fn find(&self, field: &str) -> &Node {
        let mut node = self;
        let steps = field.split(['.', '[', ']']).filter(|step| !step.is_empty());
        for step in steps {
            let next = match &node.value {
                Value::Table(entries) => {
                    entries.iter().find(|entry| snake(&entry.name) == step).map(|entry| &entry.node)
                }
                Value::List(items) => step.parse().ok().and_then(|at: usize| items.get(at)),
                _ => None,
            };
            match next {
                Some(next) => node = next,
                None => return node,
            }
        }
        node
    }

    fn size(&self) -> usize {
        1 + match &self.value {
            Value::List(items) => items.iter().map(Node::size).sum(),
            Value::Table(entries) => entries.iter().map(|entry| entry.node.size()).sum(),
            _ => 0,
        }
    }
}

impl Builder {
    fn take(&mut self, event: Event, place: Place) -> Result<(), Unreadable> {
        match event {
            Event::SequenceStart(anchor, _) => self.begin(place, anchor, None),
            Event::MappingStart(anchor, _) => self.begin(place, anchor, Some(Table::default())),
            Event::SequenceEnd | Event::MappingEnd => {
                let Some(Open { place, anchor, items, table }) = self.open.pop() else { return Ok(()) };
                let value = match table {
                    Some(table) => Value::Table(table.entries),
                    None => Value::List(items),
                };
                self.put(Node { place, value }, anchor)
            }
            Event::Scalar(text, style, anchor, tag) => {
                let value = scalar(text, style, tag.as_deref());
                self.put(Node { place, value }, anchor)
            }
            Event::Alias(anchor) => {
                let Some(node) = self.anchors.get(&anchor) else {
                    return Err((place, DiagnosticKind::Syntax("an alias of what is not complete".into())));
                };
                self.from_aliases += node.size();
                if self.from_aliases > MOST_FROM_ALIASES {
                    return Err((place, DiagnosticKind::Beyond("aliases amount to more than 100000 values")));
                }
                let node = Node::clone(node);
                self.put(node, 0)
            }
            Event::Nothing
            | Event::StreamStart
            | Event::StreamEnd
            | Event::DocumentStart(_)
            | Event::DocumentEnd => Ok(()),
        }
    }

    fn begin(&mut self, place: Place, anchor: usize, table: Option<Table>) -> Result<(), Unreadable> {
        if self.open.len() >= DEEPEST {
            return Err((place, DiagnosticKind::Beyond("nested deeper than 64 levels")));
        }
        self.open.push(Open { place, anchor, items: Vec::new(), table });
        Ok(())
    }

    fn put(&mut self, node: Node, anchor: usize) -> Result<(), Unreadable> {
        if anchor != 0 {
            self.anchors.insert(anchor, Rc::new(node.clone()));
        }
        let Some(open) = self.open.last_mut() else {
            if self.root.is_some() {
                return Err((node.place, DiagnosticKind::Beyond("only one document is read")));
            }
            self.root = Some(node);
            return Ok(());
        };
        match &mut open.table {
            None => open.items.push(node),
            Some(table) => match table.key.take() {
                None => table.key = Some((node.place, key_of(node)?)),
                Some((place, name)) if !table.names.insert(name.clone()) => {
                    return Err((place, DiagnosticKind::FieldTwice));
                }
                Some((place, name)) => table.entries.push(Entry { place, name, node }),
            },
        }
        Ok(())
    }
}

fn key_of(node: Node) -> Result<String, Unreadable> {
    match node.value {
        Value::Text(text) if text == "<<" => {
            Err((node.place, DiagnosticKind::Beyond("merge keys are not read; write the fields out")))
        }
        Value::Text(text) => Ok(text),
        Value::Number(text) => Ok(text),
        Value::Bool(is) => Ok(is.to_string()),
        Value::Null | Value::List(_) | Value::Table(_) => {
            Err((node.place, DiagnosticKind::Beyond("a key must be a text")))
        }
    }
}

/// The name of a field as the format defines it; files may write it in camel case as well.
pub(super) fn snake(name: &str) -> String {
    let mut text = String::with_capacity(name.len() + 4);
    for c in name.chars() {
        if c.is_ascii_uppercase() {
            text.push('_');
        }
        text.push(c.to_ascii_lowercase());
    }
    text
}

/// A scalar by the core schema of YAML 1.2.
fn scalar(text: Cow<str>, style: ScalarStyle, tag: Option<&Tag>) -> Value {
    let is_text = tag.is_some_and(|tag| tag.suffix == "str" || tag.handle == "!");
    if style != ScalarStyle::Plain || is_text {
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
