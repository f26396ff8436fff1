/** Finds the positions of values in a JSON text, and the position of its first syntax error. */

/** The members and indexes that lead from the top level to a value. */
export type JsonPath = readonly (string | number)[]

/** A position in a text. Line and column numbers start at 1; columns count UTF-16 code units. */
export interface TextPosition {
  readonly line: number
  readonly column: number
}

/** A syntax error. */
export interface JsonSyntaxError {
  readonly message: string
  readonly position: TextPosition
}

/** A member that occurs more than once in its object. `JSON.parse` keeps only the last occurrence. */
export interface DuplicateMember {
  readonly name: string
  readonly position: TextPosition
}

/** The positions in one JSON text. */
export interface JsonPositions {
  /** Undefined if `JSON.parse` accepts the text. */
  readonly error: JsonSyntaxError | undefined
  readonly duplicates: readonly DuplicateMember[]
  /** The position of the value or, if the path leads to none, of the innermost value on the path that exists. */
  locate (path: JsonPath): TextPosition
}

/** A value; objects and arrays have a closing character. */
interface JsonNode {
  readonly offset: number
  readonly closing: '' | '}' | ']'
  readonly children: Map<string | number, JsonNode>
}

const numberPattern = /-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?/y
const literalPattern = /true|false|null/y
const spacePattern = /[ \t\r\n]*/y
const escapePattern = /\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4})/y
const firstPrintable = ' '

/** Scans a text. It keeps a stack of its own, so that deep nesting does not overflow that of the engine. */
export function findJsonPositions (text: string): JsonPositions {
  const lineOffsets = findLineOffsets(text)
  const duplicates: DuplicateMember[] = []
  const open: JsonNode[] = []
  let root: JsonNode | undefined
  let offset = 0
  /** The member or index of the next value in the innermost open object or array. */
  let key: string | number = 0
  const message = scan()

  return {
    error: message === undefined ? undefined : { message, position: toPosition(offset) },
    duplicates,
    locate
  }

  function locate (path: JsonPath): TextPosition {
    let node = root
    for (const step of path) {
      const child = node?.children.get(step)
      if (child === undefined) break
      node = child
    }
    return toPosition(node?.offset ?? 0)
  }

  /** Scans the whole text; returns a message about the first error, which is at `offset`. */
  function scan (): string | undefined {
    for (;;) {
      match(spacePattern)
      const node: JsonNode = { offset, closing: getClosing(text[offset]), children: new Map() }
      const parent = open.at(-1)
      if (parent === undefined) root = node
      else parent.children.set(key, node)
      const valueError = node.closing === '' ? scanScalar() : scanOpening(node)
      if (valueError !== undefined) return valueError
      if (open.at(-1) === node) continue
      const endError = scanEnds()
      if (endError !== undefined) return endError
      if (open.length === 0) return undefined
    }
  }

  /** Scans the start of an object or array, which stays open unless it is empty. */
  function scanOpening (node: JsonNode): string | undefined {
    offset++
    match(spacePattern)
    if (text[offset] === node.closing) {
      offset++
      return undefined
    }
    open.push(node)
    key = 0
    return node.closing === '}' ? scanKey(node) : undefined
  }

  /** Scans what follows a value, up to the start of the next one or the end of the text. */
  function scanEnds (): string | undefined {
    for (;;) {
      match(spacePattern)
      const parent = open.at(-1)
      if (parent === undefined) return offset === text.length ? undefined : describeUnexpected('the end of the text')
      if (text[offset] === ',') {
        offset++
        key = parent.children.size
        return parent.closing === '}' ? scanKey(parent) : undefined
      }
      if (text[offset] !== parent.closing) return describeUnexpected(`"," or "${parent.closing}"`)
      offset++
      open.pop()
    }
  }

  function scanKey (parent: JsonNode): string | undefined {
    match(spacePattern)
    const start = offset
    if (text[offset] !== '"') return describeUnexpected('a member name in double quotes')
    const error = scanString()
    if (error !== undefined) return error
    const name = JSON.parse(text.slice(start, offset)) as string
    key = name
    if (parent.children.has(name)) duplicates.push({ name, position: toPosition(start) })
    match(spacePattern)
    if (text[offset] !== ':') return describeUnexpected('":"')
    offset++
    return undefined
  }

  function scanScalar (): string | undefined {
    if (text[offset] === '"') return scanString()
    return match(numberPattern) || match(literalPattern) ? undefined : describeUnexpected('a value')
  }

  function scanString (): string | undefined {
    offset++
    while (text[offset] !== '"') {
      const character = text[offset]
      if (character === undefined) return 'the text ends within a string'
      if (character < firstPrintable) return 'a control character within a string is not escaped'
      if (character !== '\\') offset++
      else if (!match(escapePattern)) return 'invalid escape sequence'
    }
    offset++
    return undefined
  }

  /** Moves past a match at the current offset; returns whether there is one. */
  function match (pattern: RegExp): boolean {
    pattern.lastIndex = offset
    const isMatch = pattern.test(text)
    if (isMatch) offset = pattern.lastIndex
    return isMatch
  }

  function describeUnexpected (expected: string): string {
    const character = text.codePointAt(offset)
    return `expected ${expected}, found ${character === undefined ? 'the end of the text' : JSON.stringify(String.fromCodePoint(character))}`
  }

  function toPosition (at: number): TextPosition {
    let low = 0
    let high = lineOffsets.length
    while (high - low > 1) {
      const middle = (low + high) >> 1
      if ((lineOffsets[middle] ?? 0) <= at) low = middle
      else high = middle
    }
    return { line: low + 1, column: at - (lineOffsets[low] ?? 0) + 1 }
  }
}

function getClosing (character: string | undefined): JsonNode['closing'] {
  if (character === '{') return '}'
  return character === '[' ? ']' : ''
}

/** The offset at which each line starts. */
function findLineOffsets (text: string): readonly number[] {
  const offsets = [0]
  for (let at = text.indexOf('\n'); at >= 0; at = text.indexOf('\n', at + 1)) offsets.push(at + 1)
  return offsets
}
