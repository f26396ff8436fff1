/** Tests of the positions in JSON texts. They guard against findings that point to the wrong line, and against accepting what the hosts reject. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { findJsonPositions } from './jsonPositions.js'
import type { JsonPath } from './jsonPositions.js'

test('a value is located by its path, a missing one by the innermost value that contains its place', () => {
  const positions = findJsonPositions('{\n  "a": [1, {"b": "x"}],\r\n  "c": {}\n}')
  expect(positions.error).toBeUndefined()
  expect(positions.locate(['a'])).toEqual({ line: 2, column: 8 })
  expect(positions.locate(['a', 1, 'b'])).toEqual({ line: 2, column: 18 })
  expect(positions.locate(['c', 'd', 'e'])).toEqual({ line: 3, column: 8 })
  expect(positions.locate([])).toEqual({ line: 1, column: 1 })
})

test.each([
  ['{"a": 1,}', 9], ['{"a" 1}', 6], ['[1 2]', 4], ['{a: 1}', 2], ['[01]', 3], ['["\\x"]', 3], ['["a', 4], ['', 1], ['1 1', 3], ['\uFEFF{}', 1], ['[nul]', 2]
])('the first error of %j is in column %d', (text, column) => {
  expect(findJsonPositions(text).error?.position).toEqual({ line: 1, column })
})

test('of a duplicate member, the last value is located, as in JSON.parse', () => {
  const positions = findJsonPositions('{"a": 1, "\\u0061": 2}')
  expect(positions.duplicates).toEqual([{ name: 'a', position: { line: 1, column: 10 } }])
  expect(positions.locate(['a'])).toEqual({ line: 1, column: 20 })
})

test('nesting of 200,000 levels does not overflow the stack', () => {
  expect(findJsonPositions('['.repeat(200_000)).error?.message).toContain('end of the text')
})

test('every value of a random document is found where its own text starts', () => {
  fc.assert(fc.property(fc.jsonValue(), fc.constantFrom(undefined, 1, '\t'), (value, indent) => {
    const text = JSON.stringify(value, undefined, indent)
    const positions = findJsonPositions(text)
    expect(positions.error).toBeUndefined()
    const lines = text.split('\n')
    visit(JSON.parse(text), [], (child, path) => {
      const { line, column } = positions.locate(path)
      const rest = [lines[line - 1]?.slice(column - 1), ...lines.slice(line)].join('\n')
      const start = typeof child === 'object' && child !== null ? (Array.isArray(child) ? '[' : '{') : JSON.stringify(child)
      expect(rest.startsWith(start)).toBe(true)
    })
  }))
})

test('a text is accepted exactly when JSON.parse accepts it', () => {
  const pieces = fc.array(fc.constantFrom('{', '}', '[', ']', ',', ':', '"', '"a"', '\\', '\\u00e9', '1', '-', '0', '.5', 'e3', 'true', 'null', ' ', '\n', '\u0001', '\u2028'), { maxLength: 8 })
  const mutated = fc.tuple(fc.jsonValue(), fc.nat(), fc.string({ maxLength: 2 })).map(([value, at, inserted]) => {
    const text = JSON.stringify(value)
    const position = at % (text.length + 1)
    return text.slice(0, position) + inserted + text.slice(position + inserted.length % 2)
  })
  fc.assert(fc.property(fc.oneof(pieces.map(parts => parts.join('')), mutated), text => {
    expect(findJsonPositions(text).error === undefined).toBe(isAccepted(text))
  }), { numRuns: 5_000 })
})

function visit (value: unknown, path: JsonPath, onValue: (value: unknown, path: JsonPath) => void): void {
  onValue(value, path)
  if (typeof value !== 'object' || value === null) return
  for (const [key, child] of Object.entries(value)) visit(child, [...path, Array.isArray(value) ? Number(key) : key], onValue)
}

function isAccepted (text: string): boolean {
  try {
    JSON.parse(text)
    return true
  } catch {
    return false
  }
}
