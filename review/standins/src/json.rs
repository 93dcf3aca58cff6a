//! A small JSON parser and writer. Numbers keep their text.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn number(value: u64) -> Self {
        Self::Number(value.to_string())
    }

    pub fn text(value: &str) -> Self {
        Self::Text(value.to_owned())
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Self::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn as_str(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn as_list(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let name = string(bytes, at)?;
                        skip(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, value(bytes, at)?));
                    }
                }
            }
            *at += 1;
            Some(Json::Object(fields))
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => items.push(value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Json::List(items))
        }
        b'"' => string(bytes, at).map(Json::Text),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let from = *at;
            while bytes.get(*at).is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(b)) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[from..*at]).ok()?;
            text.parse::<f64>().ok()?;
            Some(Json::Number(text.to_owned()))
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, name: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(name.as_bytes()).then(|| {
        *at += name.len();
        value
    })
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                match *bytes.get(*at)? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let mut buffer = [0; 4];
                        let c = char::from_u32(code).unwrap_or('\u{fffd}');
                        out.extend(c.encode_utf8(&mut buffer).as_bytes());
                        *at += 4;
                    }
                    other => out.push(other),
                }
                *at += 1;
            }
            other => {
                out.push(other);
                *at += 1;
            }
        }
    }
    *at += 1;
    String::from_utf8(out).ok()
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(text) => f.write_str(text),
            Self::Text(text) => write_string(f, text),
            Self::List(items) => {
                f.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        f.write_str(",")?;
                    }
                    write!(f, "{item}")?;
                }
                f.write_str("]")
            }
            Self::Object(fields) => {
                f.write_str("{")?;
                for (index, (name, item)) in fields.iter().enumerate() {
                    if index > 0 {
                        f.write_str(",")?;
                    }
                    write_string(f, name)?;
                    write!(f, ":{item}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_string(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 32 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}
