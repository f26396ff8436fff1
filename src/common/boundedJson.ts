/** Parsing of JSON texts from untrusted writers, bounded before anything is built from them. */

/** Bounds of a text: its length in UTF-16 code units, and how deeply arrays and objects are nested. */
export interface JsonBounds {
  readonly maxLength: number
  readonly maxDepth: number
}

/** Parses a text; undefined if it is not valid JSON or exceeds the bounds. Never throws. */
export function tryParseJson (text: string, { maxLength, maxDepth }: JsonBounds = { maxLength: Infinity, maxDepth: Infinity }): unknown {
  if (text.length > maxLength || (maxDepth < Infinity && exceedsDepth(text, maxDepth))) return undefined
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Counts brackets outside of strings. A text that is not valid JSON may give any result. */
function exceedsDepth (text: string, maxDepth: number): boolean {
  let depth = 0
  let isInString = false
  for (let position = 0; position < text.length; position++) {
    const character = text[position]
    if (isInString && character === '\\') position++
    else if (character === '"') isInString = !isInString
    else if (isInString) continue
    else if (character === '[' || character === '{') depth++
    else if (character === ']' || character === '}') depth--
    if (depth > maxDepth) return true
  }
  return false
}
