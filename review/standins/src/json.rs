//! As much JSON as the protocol's lines need: objects of strings, numbers and one nested object.

use std::collections::BTreeMap;

/// A line: its members, those of `with` among them, by name. Numbers are kept as text.
pub type Message = BTreeMap<String, String>;

/// Reads a line; `None` where it is not a message.
pub fn read(line: &str) -> Option<Message> {
    let mut message = Message::new();
    let mut text = line.trim().chars().peekable();
    object(&mut text, &mut message)?;
    text.next().is_none().then_some(message)
}

type Text<'a> = std::iter::Peekable<std::str::Chars<'a>>;

fn object(text: &mut Text, into: &mut Message) -> Option<()> {
    if text.next()? != '{' {
        return None;
    }
    if *text.peek()? == '}' {
        text.next();
        return Some(());
    }
    loop {
        let name = string(text)?;
        if text.next()? != ':' {
            return None;
        }
        match *text.peek()? {
            '{' => object(text, into)?,
            '"' => drop(into.insert(name, string(text)?)),
            _ => {
                let mut number = String::new();
                while !matches!(*text.peek()?, ',' | '}') {
                    number.push(text.next()?);
                }
                into.insert(name, number);
            }
        }
        match text.next()? {
            ',' => {}
            '}' => return Some(()),
            _ => return None,
        }
    }
}

fn string(text: &mut Text) -> Option<String> {
    if text.next()? != '"' {
        return None;
    }
    let mut found = String::new();
    loop {
        match text.next()? {
            '"' => return Some(found),
            '\\' => found.push(match text.next()? {
                'n' => '\n',
                'r' => '\r',
                't' => '\t',
                'b' => '\u{8}',
                'f' => '\u{c}',
                'u' => {
                    let digits: String = (0..4).map_while(|_| text.next()).collect();
                    char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?
                }
                other => other,
            }),
            other => found.push(other),
        }
    }
}
