//! What may be quarantined at a service: a part of prompts, or a whole request by its digest.

use std::fmt;

use sha2::{Digest, Sha256};

use crate::name::Name;

/// Digest of all that makes two requests the same for a runner. Nodes of all versions compute it alike.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Number of hexadecimal digits of the text form; the id of a part has at most half as many.
    const DIGITS: usize = 32;

    /// Digests the fields of a request. Each is preceded by its length, so that different splits of the same bytes
    /// have different digests.
    ///
    /// # Examples
    ///
    /// ```
    /// use tealsaddle_core::fleet::quarantine::subject::RequestDigest;
    ///
    /// assert_ne!(RequestDigest::of([b"ab".as_slice(), b"c"]), RequestDigest::of([b"a".as_slice(), b"bc"]));
    /// ```
    pub fn of<'a, I>(fields: I) -> Self
    where
        I: IntoIterator<Item = &'a [u8]>,
    {
        let mut hasher = Sha256::new();
        for field in fields {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let bytes = hasher.finalize();
        let first = bytes[..size_of::<u128>()].try_into();
        Self(u128::from_be_bytes(first.expect("a SHA-256 is longer")))
    }

    /// Parses the text form, which `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != Self::DIGITS {
            return None;
        }
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A part of prompts or a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Subject {
    /// A shared part of prompts, by its id.
    Part(u64),
    /// A whole request.
    Request(RequestDigest),
}

impl Subject {
    /// Whether it is a whole request.
    pub const fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }

    /// Parses the text form, which `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        if let Some(digest) = RequestDigest::parse(text) {
            return Some(Self::Request(digest));
        }
        u64::from_str_radix(text, 16).ok().map(Self::Part)
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(id) => write!(f, "{id:x}"),
            Self::Request(digest) => digest.fmt(f),
        }
    }
}

/// A subject at a service. One that crashes the runners of one service may be sound at another.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SubjectKey {
    /// Service whose runners answer the requests.
    pub service: Name,
    /// The part or request.
    pub subject: Subject,
}

impl SubjectKey {
    /// Creates the key of a subject at a service.
    pub fn new(service: &Name, subject: Subject) -> Self {
        Self {
            service: Name::clone(service),
            subject,
        }
    }

    /// Creates the key of a part at a service.
    pub fn part(service: &Name, part: u64) -> Self {
        Self::new(service, Subject::Part(part))
    }

    /// Creates the key of a request at a service.
    pub fn request(service: &Name, digest: RequestDigest) -> Self {
        Self::new(service, Subject::Request(digest))
    }
}
