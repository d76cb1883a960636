//! Code generation for `tealsaddle-schema`.
//!
//! The package holds one test, which generates the code from the schema and compares it with what is
//! committed. It stands apart from the schema package, so that it can run while the committed code
//! does not compile.
