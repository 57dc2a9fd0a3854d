//! A diagnostic about the file before it is rendered.

use std::ops::Range;

/// Another span of the file that a diagnostic refers to.
#[derive(Clone, Debug)]
pub(crate) struct RelatedSpan {
    pub span: Range<usize>,
    /// Explains why the span is shown.
    pub label: String,
}

/// One problem in the file.
#[derive(Clone, Debug)]
pub(crate) struct Diagnostic {
    /// Byte range of the problem; `None` if it concerns the whole file.
    pub span: Option<Range<usize>>,
    /// Description of the problem.
    pub message: String,
    /// Description of the expected input.
    pub expected: String,
    /// Other spans that the diagnostic refers to.
    pub related: Vec<RelatedSpan>,
    /// Hint for the operator.
    pub help: Option<String>,
}

impl Diagnostic {
    /// Creates a diagnostic for a span.
    pub fn at(span: Range<usize>, message: impl Into<String>, expected: impl Into<String>) -> Diagnostic {
        Diagnostic { span: Some(span), ..Diagnostic::for_file(message, expected) }
    }

    /// Creates a diagnostic for the whole file.
    pub fn for_file(message: impl Into<String>, expected: impl Into<String>) -> Diagnostic {
        Diagnostic {
            span: None,
            message: message.into(),
            expected: expected.into(),
            related: Vec::new(),
            help: None,
        }
    }

    /// Adds another span that the diagnostic refers to.
    pub fn with_related(mut self, span: Range<usize>, label: impl Into<String>) -> Diagnostic {
        self.related.push(RelatedSpan { span, label: label.into() });
        self
    }

    /// Adds a hint for the operator.
    pub fn with_help(mut self, text: impl Into<String>) -> Diagnostic {
        self.help = Some(text.into());
        self
    }
}
