//! Query for the explanation of a request.

use std::str::FromStr;

use crate::is_credential_header;

/// A request that is to be explained, as the query of a URL describes it.
///
/// ```
/// use rattanarch_types::ExplainQuery;
///
/// let query: ExplainQuery = "method=GET&path=%2Fstock%2Fa&key=7&header=X-A:+b".parse().unwrap();
/// assert_eq!((query.method.as_str(), query.path.as_str()), ("GET", "/stock/a"));
/// assert_eq!(query.headers, [("X-A".to_owned(), "b".to_owned())]);
/// assert!("method=GET&path=%2F&header=Cookie:+a".parse::<ExplainQuery>().is_err());
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExplainQuery {
    /// Method.
    pub method: String,
    /// Path; begins with a slash.
    pub path: String,
    /// Host.
    pub host: Option<String>,
    /// Key by which services are sliced.
    pub key: Option<String>,
    /// Names and values of headers, without credentials.
    pub headers: Vec<(String, String)>,
}

/// Why a request can't be explained. Values of headers are not shown.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ExplainQueryError {
    /// A parameter is not known.
    #[error("unknown parameter {0:?}; known are method, path, host, key and header")]
    UnknownParameter(String),
    /// A parameter that may be given once is given again.
    #[error("parameter {0} is given twice")]
    Repeated(&'static str),
    /// A required parameter is missing.
    #[error("parameter {0} is missing")]
    Missing(&'static str),
    /// The method is not valid in HTTP.
    #[error("malformed method")]
    Method,
    /// The path is not valid in HTTP.
    #[error("malformed path; it begins with a slash")]
    Path,
    /// The key is not valid on this platform.
    #[error("malformed key; it is a number from 0 to 65535")]
    Key,
    /// A header is not valid in HTTP.
    #[error("malformed header; it has the form NAME: VALUE")]
    Header,
    /// A header carries credentials.
    #[error("header {0:?} has credentials, which are not accepted here")]
    Credential(String),
    /// No host is given, and there is no single one.
    #[error("no host is given, and the configuration does not have exactly one")]
    NoHost,
}

impl FromStr for ExplainQuery {
    type Err = ExplainQueryError;

    fn from_str(query: &str) -> Result<Self, ExplainQueryError> {
        let (mut method, mut path, mut host, mut key) = (None, None, None, None);
        let mut headers = Vec::new();
        for (name, value) in form_urlencoded::parse(query.as_bytes()) {
            let (slot, name) = match &*name {
                "method" => (&mut method, "method"),
                "path" => (&mut path, "path"),
                "host" => (&mut host, "host"),
                "key" => (&mut key, "key"),
                "header" => {
                    headers.push(read_header(&value)?);
                    continue;
                }
                _ => return Err(ExplainQueryError::UnknownParameter(name.into_owned())),
            };
            if slot.replace(value.into_owned()).is_some() {
                return Err(ExplainQueryError::Repeated(name));
            }
        }
        let method = method.ok_or(ExplainQueryError::Missing("method"))?;
        let path = path.ok_or(ExplainQueryError::Missing("path"))?;
        if !path.starts_with('/') {
            return Err(ExplainQueryError::Path);
        }
        Ok(Self { method, path, host, key, headers })
    }
}

/// Reads `NAME: VALUE`.
fn read_header(text: &str) -> Result<(String, String), ExplainQueryError> {
    let (name, value) = text.split_once(':').ok_or(ExplainQueryError::Header)?;
    let (name, value) = (name.trim().to_owned(), value.trim().to_owned());
    if is_credential_header(&name) {
        return Err(ExplainQueryError::Credential(name));
    }
    Ok((name, value))
}
