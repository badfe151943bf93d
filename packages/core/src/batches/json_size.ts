/**
 * Estimates what a JSON text becomes in memory before it is parsed. A text of many small
 * values takes far more memory than it has bytes.
 */

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const OPEN_BRACKET = 0x5b;
const OPEN_BRACE = 0x7b;

/** Whether `text` (UTF-8) has more than `maxValues` values, keys not counted. Reads no further than it has to. */
export function hasMoreValues(text: Uint8Array, maxValues: number): boolean {
  let values = 1;
  for (let i = 0; i < text.length; i++) {
    switch (text[i]) {
      case QUOTE:
        i = findStringEnd(text, i + 1);
        break;
      case COMMA:
      case OPEN_BRACKET:
      case OPEN_BRACE:
        values += 1;
        if (values > maxValues) return true;
    }
  }
  return false;
}

/** Returns the position of the quote that ends the string whose text begins at `start`. */
function findStringEnd(text: Uint8Array, start: number): number {
  let end = text.indexOf(QUOTE, start);
  while (end > 0 && isEscaped(text, start, end)) {
    end = text.indexOf(QUOTE, end + 1);
  }
  return end < 0 ? text.length : end;
}

/** Whether an odd number of backslashes stands before `at`. */
function isEscaped(text: Uint8Array, start: number, at: number): boolean {
  let first = at;
  while (first > start && text[first - 1] === BACKSLASH) first -= 1;
  return (at - first) % 2 === 1;
}
