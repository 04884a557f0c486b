//! Reads JSON with comments into typed values, and says where a mistake stands.
//!
//! The text goes in; a value of the asked type comes out, or a [`Error`] with line, column and a
//! plain message. Later checks on the typed value report by [`Path`], which is looked up in the
//! same parsed text, so they carry line and column as well.

use std::fmt;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;

/// A mistake in a text, with where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Counted from one; zero when the place is not known.
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

/// Builds a [`Path`] out of names and indices.
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

/// Comments and a comma after the last element, and nothing else beyond JSON: a name without quotes
/// is a slip of the pen.
const OPTIONS: jsonc_parser::ParseOptions = jsonc_parser::ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
};

/// The deepest nesting a text may have; deeper ones are refused before they are parsed, since the
/// parser recurses and a hostile text would otherwise overflow the stack.
const MAX_DEPTH: usize = 64;

impl<'a> Document<'a> {
    /// Parses a text.
    ///
    /// # Errors
    /// The first mistake of syntax, or a field that stands twice in one object.
    pub fn parse(text: &'a str) -> Result<Self, Error> {
        check_depth(text)?;
        let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &OPTIONS)
            .map_err(|error| error_at_byte(text, error.range().start, error.kind().to_string()))?;
        let root =
            parsed.value.ok_or_else(|| error_at_byte(text, 0, "the text is empty".to_owned()))?;
        let document = Self { text, root };
        document.check_twice(&document.root)?;
        Ok(document)
    }

    /// Reads the text as a value of type `T`.
    ///
    /// # Errors
    /// The first field that is missing, unknown or of another type.
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

    /// A mistake at the given path, or at its nearest ancestor that stands in the text.
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

    fn check_twice(&self, value: &ast::Value<'_>) -> Result<(), Error> {
        match value {
            ast::Value::Object(object) => {
                let mut seen = std::collections::HashSet::new();
                for property in &object.properties {
                    if !seen.insert(property.name.as_str().to_owned()) {
                        let message =
                            format!("the field `{}` is given twice", property.name.as_str());
                        return Err(error_at_byte(self.text, property.range.start, message));
                    }
                    self.check_twice(&property.value)?;
                }
                Ok(())
            }
            ast::Value::Array(array) => {
                array.elements.iter().try_for_each(|element| self.check_twice(element))
            }
            _ => Ok(()),
        }
    }
}

fn check_depth(text: &str) -> Result<(), Error> {
    // Brackets inside strings count too; a text with 64 of them unbalanced in one string is
    // refused by mistake, which a person can mend.
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
