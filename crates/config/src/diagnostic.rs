//! One diagnostic, before it is rendered.

use std::ops::Range;

/// Another place of the file that a diagnostic refers to.
#[derive(Clone, Debug)]
pub(crate) struct RelatedSpan {
    pub span: Range<usize>,
    /// Why it is shown.
    pub label: String,
}

/// Something wrong with the file.
#[derive(Clone, Debug)]
pub(crate) struct Diagnostic {
    /// Where, in bytes; none: the file as a whole.
    pub span: Option<Range<usize>>,
    /// What is wrong.
    pub message: String,
    /// What was expected instead.
    pub expected: String,
    /// Other places that it refers to.
    pub related: Vec<RelatedSpan>,
    /// A suggestion.
    pub help: Option<String>,
}

impl Diagnostic {
    /// A diagnostic of that place.
    pub fn at(span: Range<usize>, message: impl Into<String>, expected: impl Into<String>) -> Diagnostic {
        Diagnostic { span: Some(span), ..Diagnostic::for_file(message, expected) }
    }

    /// A diagnostic of the whole file.
    pub fn for_file(message: impl Into<String>, expected: impl Into<String>) -> Diagnostic {
        Diagnostic {
            span: None,
            message: message.into(),
            expected: expected.into(),
            related: Vec::new(),
            help: None,
        }
    }

    /// Adds another place that it refers to.
    pub fn with_related(mut self, span: Range<usize>, label: impl Into<String>) -> Diagnostic {
        self.related.push(RelatedSpan { span, label: label.into() });
        self
    }

    /// Adds a suggestion.
    pub fn with_help(mut self, text: impl Into<String>) -> Diagnostic {
        self.help = Some(text.into());
        self
    }
}
