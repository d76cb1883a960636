//! Code generation for `tealsaddle-schema`.
//!
//! The package contains one test, which generates code from the schema and compares it with the
//! committed code. It is separate from the schema package, so that the test can run while the
//! committed code does not compile.
