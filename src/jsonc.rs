//! Parses JSON with comments into typed values and reports the position of errors.
//!
//! Parsing returns a value of the requested type or an [`Error`] with line, column and message. Later
//! checks of the typed value report a [`Path`], which is looked up in the same parsed text, so their
//! errors have a line and a column as well.

use std::fmt;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;

/// An error in a text, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Counted from one; zero if the position is unknown.
    pub line: usize,
    /// Counted from one, in characters.
    pub column: usize,
    pub message: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}: {}", self.line, self.column, self.message)
    }
}

impl std::error::Error for Error {}

/// One step of a path into a document.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::From)]
pub enum Step {
    Field(String),
    Index(usize),
}

impl From<&str> for Step {
    fn from(name: &str) -> Self {
        Self::Field(name.to_owned())
    }
}

/// A path into a document.
pub type Path = Vec<Step>;

/// Builds a [`Path`] from names and indices.
#[macro_export]
macro_rules! path {
    ($($step:expr),* $(,)?) => { vec![$($crate::jsonc::Step::from($step)),*] };
}

/// A parsed text.
#[derive(Debug)]
pub struct Document<'a> {
    text: &'a str,
    root: ast::Value<'a>,
}

/// Allows comments and trailing commas, but no other extension of JSON: a name without quotes is most
/// likely a typing error.
const OPTIONS: jsonc_parser::ParseOptions = jsonc_parser::ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
};

/// Maximum nesting depth. Deeper texts are rejected before they are parsed: the parser is recursive, and
/// a malicious text could overflow the stack.
const MAX_DEPTH: usize = 64;

impl<'a> Document<'a> {
    /// Parses a text.
    ///
    /// # Errors
    /// The first syntax error, or a field that occurs twice in one object.
    pub fn parse(text: &'a str) -> Result<Self, Error> {
        check_depth(text)?;
        let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &OPTIONS)
            .map_err(|error| error_at_byte(text, error.range().start, error.kind().to_string()))?;
        let root =
            parsed.value.ok_or_else(|| error_at_byte(text, 0, "the text is empty".to_owned()))?;
        let document = Self { text, root };
        document.check_duplicates(&document.root)?;
        Ok(document)
    }

    /// Deserializes the text into a value of type `T`.
    ///
    /// # Errors
    /// The first field that is missing, unknown or of the wrong type.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Error> {
        let value: serde_json::Value = self.root.clone().into();
        serde_path_to_error::deserialize(&value).map_err(|error| {
            let mut path = steps(error.path());
            let message = error.into_inner().to_string();
            if let Some(name) = unknown_field(&message)
                && !matches!(path.last(), Some(Step::Field(last)) if last == name)
            {
                path.push(Step::from(name));
            }
            self.error_at(&path, message)
        })
    }

    /// Creates an error at the given path, or at its nearest ancestor that is present in the text.
    #[must_use]
    pub fn error_at(&self, path: &[Step], message: impl Into<String>) -> Error {
        error_at_byte(self.text, self.locate(path), message.into())
    }

    fn locate(&self, path: &[Step]) -> usize {
        let mut value = &self.root;
        let mut start = value.range().start;
        for step in path {
            let next = match (step, value) {
                (Step::Field(name), ast::Value::Object(object)) => {
                    object.get(name).map(|property| (property.range.start, &property.value))
                }
                (Step::Index(index), ast::Value::Array(array)) => {
                    array.elements.get(*index).map(|element| (element.range().start, element))
                }
                _ => None,
            };
            let Some((found, inner)) = next else { break };
            start = found;
            value = inner;
        }
        start
    }

    fn check_duplicates(&self, value: &ast::Value<'_>) -> Result<(), Error> {
        match value {
            ast::Value::Object(object) => {
                let mut seen = std::collections::HashSet::new();
                for property in &object.properties {
                    if !seen.insert(property.name.as_str().to_owned()) {
                        let message =
                            format!("the field `{}` is given twice", property.name.as_str());
                        return Err(error_at_byte(self.text, property.range.start, message));
                    }
                    self.check_duplicates(&property.value)?;
                }
                Ok(())
            }
            ast::Value::Array(array) => {
                array.elements.iter().try_for_each(|element| self.check_duplicates(element))
            }
            _ => Ok(()),
        }
    }
}

fn check_depth(text: &str) -> Result<(), Error> {
    // Brackets inside strings count as well. A text with 64 unbalanced brackets in one string is
    // rejected although it is valid; its author can rewrite it.
    let mut depth = 0_usize;
    for (at, byte) in text.bytes().enumerate() {
        match byte {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Err(error_at_byte(text, at, format!("nested deeper than {MAX_DEPTH} levels")));
        }
    }
    Ok(())
}

fn error_at_byte(text: &str, byte: usize, message: String) -> Error {
    let before = text.get(..byte).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, |last| last.chars().count()) + 1;
    Error { line, column, message }
}

fn steps(path: &serde_path_to_error::Path) -> Path {
    path.iter()
        .filter_map(|segment| match segment {
            serde_path_to_error::Segment::Map { key } => Some(Step::Field(key.clone())),
            serde_path_to_error::Segment::Seq { index } => Some(Step::Index(*index)),
            _ => None,
        })
        .collect()
}

fn unknown_field(message: &str) -> Option<&str> {
    message.strip_prefix("unknown field `")?.split('`').next()
}
